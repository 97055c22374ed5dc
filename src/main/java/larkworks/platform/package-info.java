/** What all parts of the program share: its command line and its logs. */
package larkworks.platform;
