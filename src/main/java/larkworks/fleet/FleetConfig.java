package larkworks.fleet;

import java.net.InetSocketAddress;
import java.util.List;
import larkworks.platform.Section;

/**
 * What a member is told of its fleet, from DEPLOY's configuration.
 *
 * @param listen {@code peer_listen}, where datagrams come in
 * @param peers one address for each member, own included; the position is the id
 * @param everyone {@code peers_all}, which reaches every member; null where there is none
 * @param self own id
 * @param settings the detector's figures
 */
public record FleetConfig(InetSocketAddress listen, List<InetSocketAddress> peers,
        InetSocketAddress everyone, int self, MembershipSettings settings) {

    /**
     * Reads a proxy's configuration.
     *
     * @param allowed whether the settings allow peers to speak
     * @return null where membership is off: not allowed, or no {@code membership} table
     */
    public static FleetConfig ofProxy(Section top, boolean allowed) {
        if (!allowed || !top.has("membership")) {
            top.allow("peer_listen", "peers", "peers_all", "member", "membership");
            return null;
        }
        return of(top);
    }

    /**
     * Reads {@code peer_listen}, {@code peers}, {@code peers_all}, {@code member} (own id; if left out the
     * place of {@code peer_listen} in {@code peers}, or the settings' {@code me} where others reach this
     * process at another address) and {@code membership} (figures, times in ms; what is not given has its
     * default). What is wrong is noted in the section.
     */
    public static FleetConfig of(Section top) {
        InetSocketAddress listen = top.address("peer_listen");
        InetSocketAddress everyone = top.optionalAddress("peers_all");
        List<InetSocketAddress> peers = top.addresses("peers", false);
        long own = peers.indexOf(listen);
        if (own < 0 && top.optionalSection("settings").map().get("me") instanceof Number me) {
            own = me.longValue();  // DEPLOY: peers stand in the order of their numbers in the settings
        }
        int self = (int) top.whole("member", own, -1, peers.size() - 1L);
        if (self < 0 && listen != null) {
            top.fault("member", "no entry of peers is this process");
        }
        return new FleetConfig(listen, peers, everyone, self,
                MembershipSettings.of(top.optionalSection("membership")));
    }
}
