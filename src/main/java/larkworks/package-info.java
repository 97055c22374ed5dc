/** The decision module: load balancing of the calls that services make to each other. */
package larkworks;
