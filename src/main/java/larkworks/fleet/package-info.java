/**
 * Membership among proxy processes over the peers' UDP: SWIM with Lifeguard's suspicion.
 *
 * <p>{@link larkworks.fleet.Membership} is the state machine: it takes datagrams and ticks with the
 * caller's clock and returns datagrams and events, with no I/O. {@link larkworks.fleet.PeerSocket} only
 * carries bytes; {@link larkworks.fleet.Agent} is a member process of its own. Design: docs/design.md.
 */
package larkworks.fleet;
