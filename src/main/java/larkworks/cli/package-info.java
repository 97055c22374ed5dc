/** The program's one command line. */
package larkworks.cli;
