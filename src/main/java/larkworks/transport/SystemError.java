package larkworks.transport;

import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;

/**
 * The error with which a system call on a socket failed, as the JDK's exceptions tell it: by their type, or
 * by the system's text for it.
 */
public enum SystemError {

    /** The process has no descriptor left. */
    EMFILE("Too many open files", true),
    /** The system has no descriptor left. */
    ENFILE("Too many open files in system", true),
    /** No room for a socket's buffers. */
    ENOBUFS("No buffer space available", true),
    /** No memory for a socket. */
    ENOMEM("Cannot allocate memory", true),
    /** No port or no route entry for now. */
    EAGAIN("Resource temporarily unavailable", true),
    /** No local address or port to connect from. */
    EADDRNOTAVAIL("Cannot assign requested address", true),
    /** The local address is taken. */
    EADDRINUSE("Address already in use", true),
    /** This machine's own rules forbid the call. */
    EPERM("Operation not permitted", true),
    /** Likewise. */
    EACCES("Permission denied", true),
    /**
     * This machine has no route: its interface or its routing table is at fault, whatever the server does. A
     * router on the way that gives up says EHOSTUNREACH.
     */
    ENETUNREACH("Network is unreachable", true),
    /** This machine's interface is down. */
    ENETDOWN("Network is down", true),
    /** The peer gave up before it was accepted. */
    ECONNABORTED("Software caused connection abort", false),
    /** The peer's protocol was broken. */
    EPROTO("Protocol error", false),
    /** Nobody listens there. */
    ECONNREFUSED("Connection refused", false),
    /** No answer. */
    ETIMEDOUT("Connection timed out", false),
    /** The way to the host, or the host itself, is down. */
    EHOSTUNREACH("No route to host", false),
    /** Any other error. */
    OTHER("", false);

    private final String text;
    private final boolean local;

    SystemError(String text, boolean local) {
        this.text = text;
        this.local = local;
    }

    /** Whether the call failed before anything left this machine, so that it tells nothing of a peer. */
    public boolean isLocal() {
        return local;
    }

    /** Whether the same call may well succeed a moment later, though nothing else is done about it. */
    public boolean isMomentary() {
        return this == EMFILE || this == ENFILE || this == ENOBUFS || this == ENOMEM || this == EAGAIN;
    }

    /** The error that a failure tells of, itself or through its causes. */
    public static SystemError of(Throwable failure) {
        for (Throwable at = failure; at != null; at = at.getCause()) {
            SystemError error = ofOne(at);
            if (error != OTHER) {
                return error;
            }
        }
        return OTHER;
    }

    private static SystemError ofOne(Throwable failure) {
        String said = String.valueOf(failure.getMessage());
        SystemError longest = OTHER;
        for (SystemError error : values()) {
            if (error.text.length() > longest.text.length() && said.startsWith(error.text)) {
                longest = error;
            }
        }
        if (longest != OTHER) {
            return longest;
        }
        if (failure instanceof BindException) {
            return EADDRNOTAVAIL;
        }
        if (failure instanceof NoRouteToHostException) {
            return EHOSTUNREACH;
        }
        return failure instanceof ConnectException ? ECONNREFUSED : OTHER;
    }
}
