package larkworks;

/** One attempt of a call. */
final class Attempt {
    final Backend server;
    final long sentAtUs;
    /** The known calls in flight at the server when this attempt was sent, plus this attempt's own work. */
    final double serverLoad;
    /** True where the known calls in flight included those of other copies. */
    final boolean isLoadKnown;
    final Call call;
    /** When the attempt counts as stalled if it has not been answered by then. */
    long stalledAtUs;
    boolean isInFlight = true;
    /**
     * Whether the server has received the request in full and has not begun to answer: only then the attempt
     * counts as in flight there.
     */
    boolean isServerWorking;
    /** Whether the answer has begun. */
    boolean isAnswering;
    boolean isProvedNotRun;
    boolean isStalled;

    Attempt(Call call, Backend server, long sentAtUs, double serverLoad, boolean isLoadKnown) {
        this.call = call;
        this.server = server;
        this.sentAtUs = sentAtUs;
        this.serverLoad = serverLoad;
        this.isLoadKnown = isLoadKnown;
    }

    void startWork() {
        isServerWorking = true;
        server.attemptsInFlight++;
    }

    void endWork() {
        server.attemptsInFlight -= isServerWorking ? 1 : 0;
        isServerWorking = false;
    }
}
