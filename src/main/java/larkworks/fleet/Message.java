package larkworks.fleet;

import java.util.List;

/**
 * One datagram between members, as {@link PeerCodec} reads and writes it.
 *
 * @param type what it asks or answers
 * @param sender id of the member that sent it
 * @param sequence the probe it belongs to, 0 to 2^32-1
 * @param target for a ping the member it is meant for; for a ping-req the member to probe; for an ack
 *     the member that answered, for a nack the one that did not; {@link PeerCodec#NO_MEMBER} where none
 * @param updates piggybacked gossip, at most {@link PeerCodec#MOST_UPDATES}
 */
public record Message(Type type, int sender, long sequence, int target, List<Update> updates) {

    /**
     * The three kinds of SWIM's failure detector, Lifeguard's nack (a helper's ping has not been answered in
     * time), and an announcement to every member, which is not answered.
     */
    public enum Type {
        PING, ACK, PING_REQ, NACK, ANNOUNCE;

        private static final Type[] ALL = values();

        static Type ofCode(int code) {
            return code >= 0 && code < ALL.length ? ALL[code] : null;
        }
    }
}
