package larkworks.shared;

/**
 * A hybrid logical clock (Kulkarni et al. 2014): stamps rise with every use and with every stamp heard, and
 * stay close to the wall clock. A stamp is Unix milliseconds times 2^16 plus a count.
 */
final class Hlc {

    private static final int BITS = 16;

    private long last;

    /** A stamp greater than all given or heard so far. */
    long next(long wallMs) {
        last = Math.max(last + 1, wallMs << BITS);
        return last;
    }

    /** Takes note of another process's stamp. */
    void heard(long stamp) {
        last = Math.max(last, stamp);
    }

    /** The wall clock's part of a stamp. */
    static long ms(long stamp) {
        return stamp >>> BITS;
    }
}
