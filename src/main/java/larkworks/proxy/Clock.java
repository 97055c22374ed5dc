package larkworks.proxy;

import larkworks.platform.SteadyClock;

/** The proxy's time in microseconds, which never steps; see {@link SteadyClock}. */
final class Clock {

    long nowUs() {
        return SteadyClock.nowUs();
    }
}
