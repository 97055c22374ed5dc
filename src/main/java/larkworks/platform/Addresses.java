package larkworks.platform;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Addresses as the configurations give them; shared by all parts. */
public final class Addresses {

    private Addresses() { }

    /** An address as {@link #parse} reads it, IPv4. */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Reads {@code host:port}, the host an IPv4 or bracketed IPv6 literal in full: a look-up of a name would
     * stop the loop.
     *
     * @throws IllegalArgumentException naming the text, where it is no address and port
     */
    public static InetSocketAddress parse(Object value) {
        String text = String.valueOf(value);
        int colon = text.lastIndexOf(':');
        String host = text.substring(0, Math.max(0, colon));
        boolean bracketed = host.startsWith("[") && host.endsWith("]");
        boolean literal = bracketed ? NetUtil.isValidIpV6Address(host.substring(1, host.length() - 1))
                : NetUtil.isValidIpV4Address(host);
        if (!literal) {
            throw new IllegalArgumentException("'" + text + "' is no address and port");
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(host),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("'" + text + "' is no address and port", e);
        }
    }
}
