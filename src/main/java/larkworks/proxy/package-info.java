/** The proxy: connects the decision module to sockets, all on one event loop. */
package larkworks.proxy;
