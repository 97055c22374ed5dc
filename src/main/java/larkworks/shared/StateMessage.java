package larkworks.shared;

import java.util.List;

/** A datagram of shared state. */
sealed interface StateMessage {

    /** Id of the member that sent it. */
    int sender();

    /**
     * One register.
     *
     * @param server hash of the server's name
     * @param reason why it is held back
     * @param untilMs Unix milliseconds until which it holds, 0 for taken back; below 2^48
     * @param stamp of the {@link Hlc} that wrote it
     * @param origin id of the member that wrote it
     */
    record Register(long server, Reason reason, long untilMs, long stamp, int origin) {

        /** Whether this one wins over another of the same server and reason. */
        boolean supersedes(Register other) {
            return other == null || stamp > other.stamp || stamp == other.stamp && origin > other.origin;
        }
    }

    /** Verdicts, at most {@link StateCodec#MOST_REGISTERS}. */
    record Gossip(int sender, List<Register> registers) implements StateMessage { }

    /**
     * Asks for tokens.
     *
     * @param key hash of the budget's key
     * @param epoch the epoch they are for, 0 to 2^32-1
     * @param nonce names this call, 0 to 2^32-1
     * @param tokens how many, 1 to 65,535
     */
    record Ask(int sender, long key, long epoch, long nonce, int tokens) implements StateMessage { }

    /** Answers an {@link Ask}: so many tokens, perhaps none, are now the asker's. */
    record Grant(int sender, long key, long epoch, long nonce, int tokens) implements StateMessage { }
}
