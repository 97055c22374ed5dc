package larkworks.registry;

/** A call that can't be granted; nothing has changed. The message is for the caller. */
final class Refusal extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;

    /** @param status the HTTP status that says so */
    Refusal(int status, String why) {
        super(why, null, false, false);
        this.status = status;
    }

    int status() {
        return status;
    }
}
