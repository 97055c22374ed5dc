/** TCP channels that outlive system calls which fail for a moment. */
package larkworks.transport;
