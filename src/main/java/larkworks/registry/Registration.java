package larkworks.registry;

import io.netty.util.NetUtil;

/**
 * The body of a registration; all but {@code address} may be left out.
 *
 * @param address {@code host:port}, the host an IP literal
 * @param zone name of its zone
 * @param type name of its machine type
 * @param group number of its group
 * @param weight its share, above 0; 1 if left out
 * @param sinceMs Unix time in milliseconds of its start; 0 if left out
 * @param ttlMs its lease, 500 ms to a day; none if left out
 */
record Registration(String address, String zone, String type, Integer group, Double weight, Long sinceMs,
        Long ttlMs) {

    private static final int MOST_TEXT = 128;
    private static final long LEAST_TTL_MS = 500;
    private static final long MOST_TTL_MS = 86_400_000;

    /**
     * The instance that this registers.
     *
     * @throws Refusal 400 naming the first field that makes no sense
     */
    Instance named(String name) throws Refusal {
        want(!name.isEmpty() && name.length() <= MOST_TEXT && name.chars().allMatch(c -> c > ' ' && c < 127),
                "name: 1 to " + MOST_TEXT + " printable characters are wanted");
        want(address != null && validAddress(address), "address: IP:PORT is wanted, not '" + address + "'");
        want(text(zone).length() <= MOST_TEXT, "zone: too long");
        want(text(type).length() <= MOST_TEXT, "type: too long");
        double share = weight == null ? 1 : weight;
        want(share > 0 && Double.isFinite(share), "weight: a number above 0 is wanted");
        long since = sinceMs == null ? 0 : sinceMs;
        want(since >= 0, "since_ms: 0 or more is wanted");
        long ttl = ttlMs == null ? 0 : ttlMs;
        want(ttl == 0 || ttl >= LEAST_TTL_MS && ttl <= MOST_TTL_MS,
                "ttl_ms: 0, or " + LEAST_TTL_MS + " to " + MOST_TTL_MS + " is wanted");
        return new Instance(name, address, text(zone), text(type), group == null ? 0 : group,
                Status.IN_SERVICE, share, since, ttl, false, 0);
    }

    private static String text(String given) {
        return given == null ? "" : given;
    }

    private static void want(boolean holds, String what) throws Refusal {
        if (!holds) {
            throw new Refusal(400, what);
        }
    }

    private static boolean validAddress(String text) {
        int colon = text.lastIndexOf(':');
        String host = text.substring(0, Math.max(0, colon));
        boolean bracketed = host.startsWith("[") && host.endsWith("]");
        if (!(bracketed ? NetUtil.isValidIpV6Address(host.substring(1, host.length() - 1))
                : NetUtil.isValidIpV4Address(host))) {
            return false;
        }
        String port = text.substring(colon + 1);
        return port.matches("[1-9][0-9]{0,4}") && Integer.parseInt(port) <= 65_535;
    }
}
