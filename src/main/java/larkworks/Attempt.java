package larkworks;

/** One attempt of a call. */
final class Attempt {
    final Backend server;
    final long sentAtUs;
    /** The known calls in flight at the server when this attempt was sent, plus this attempt's own work. */
    final double ahead;
    /** True where the known calls in flight included those of other copies. */
    final boolean known;
    final Call call;
    /** When the attempt counts as stalled if it has not been answered by then. */
    long overdueAtUs;
    boolean out = true;
    /**
     * Whether the server has received the request in full and has not begun to answer: only then the attempt
     * counts as in flight there.
     */
    boolean working;
    /** Whether the answer has begun. */
    boolean answering;
    boolean provedNotRun;
    boolean overdue;

    Attempt(Call call, Backend server, long sentAtUs, double ahead, boolean known) {
        this.call = call;
        this.server = server;
        this.sentAtUs = sentAtUs;
        this.ahead = ahead;
        this.known = known;
    }

    void work() {
        working = true;
        server.inFlight++;
    }

    void done() {
        server.inFlight -= working ? 1 : 0;
        working = false;
    }
}
