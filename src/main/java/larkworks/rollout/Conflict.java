package larkworks.rollout;

/** A command that does not fit the phase; nothing has changed. */
public final class Conflict extends Exception {
    private static final long serialVersionUID = 1L;

    Conflict(String why) {
        super(why, null, false, false);
    }
}
