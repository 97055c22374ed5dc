package larkworks.proxy;

import larkworks.platform.SteadyClock;

/**
 * The proxy's clock, in microseconds. Changes of the system's time don't make it jump, see {@link
 * SteadyClock}.
 */
final class Clock {

    long nowUs() {
        return SteadyClock.nowUs();
    }
}
