package larkworks.proxy;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import larkworks.Balancer.RequestClass;
import larkworks.Balancer.Settings;
import larkworks.SettingsCheck;
import larkworks.adapter.SettingsReader;
import larkworks.adapter.WireException;
import larkworks.fleet.FleetConfig;
import larkworks.platform.Addresses;
import larkworks.platform.ConfigFile;
import larkworks.platform.ConfigFile.Unusable;
import larkworks.platform.LogSettings;
import larkworks.platform.Section;
import larkworks.rollout.Rollouts;
import larkworks.shared.SharedSettings;

/**
 * The configuration of a proxy.
 *
 * @param name the proxy's name, the same after a restart; "" if it has none
 * @param listen address that clients connect to
 * @param discovery addresses of the discovery service, at least one; another is tried when a call fails
 * @param seed seed of the decision module's random numbers
 * @param sockets maximum file descriptors of the process
 * @param settings settings of the decision module
 * @param zones names of the zones; a zone's position is its number
 * @param connectTimeoutUs timeout of a connection attempt to a backend
 * @param keepAliveUs idle time after which backends close a connection
 * @param hasLoadReports whether backends report their load when probed
 * @param knownList a list of backends from before the start, perhaps old; null if there is none
 * @param adminAddress address of the admin server; null if there is none
 * @param stateFolder folder for state that outlives the process; null if none is given
 * @param fleet the other proxies of the tier; null if membership is off
 * @param shared settings of the state shared with them; null if none is shared
 * @param rolloutReportMs interval of the reports to the list service on the running configuration version,
 *     answered with the version to run; 0 if this proxy does not take part in rollouts
 * @param logs settings of the log
 * @param metricsEnabled whether metrics are collected and served at the admin address
 */
public record Config(String name, InetSocketAddress listen, List<InetSocketAddress> discovery, long seed,
        int sockets, Settings settings, List<String> zones, long connectTimeoutUs, long keepAliveUs,
        boolean hasLoadReports, Listing knownList, InetSocketAddress adminAddress, Path stateFolder,
        FleetConfig fleet, SharedSettings shared, long rolloutReportMs, LogSettings logs,
        boolean metricsEnabled) {

    /**
     * Reads a configuration file, in TOML or in the platform's JSON. Command-line flags override
     * {@code GW_ADMIN_ADDR}, which is set for a single process, and that overrides the file. {@code GW_NAME},
     * {@code GW_LISTEN} and {@code GW_DISCOVERY} apply only to keys that the file lacks: the file may be
     * replaced while the process runs, the environment may not.
     *
     * @param flags values by key that override those of the file
     * @throws Unusable if the configuration is invalid; lists all faults
     */
    public static Config read(String file, Map<String, String> environment, Map<String, String> flags)
            throws Unusable {
        return read(file, environment, flags, null);
    }

    /** Reads a configuration file and applies a rollout's JSON merge patch to it; null for no patch. */
    static Config read(String file, Map<String, String> environment, Map<String, String> flags,
            JsonNode patch) throws Unusable {
        if (file == null || file.isBlank()) {
            throw new Unusable("GW_CONFIG", List.of("the name of a configuration file is wanted"));
        }
        Map<Object, Object> values = new LinkedHashMap<>(ConfigFile.read(Path.of(file)));
        if (patch != null) {
            ObjectMapper json = new ObjectMapper();
            JsonNode patched = Rollouts.patched(json.valueToTree(values), patch);
            values.putAll(json.convertValue(patched, new TypeReference<Map<String, Object>>() { }));
        }
        Map.of("name", "GW_NAME", "listen", "GW_LISTEN", "discovery", "GW_DISCOVERY").forEach(
                (key, variable) -> {
                    if (values.get(key) == null && !environment.getOrDefault(variable, "").isBlank()) {
                        values.put(key, environment.get(variable));
                    }
                });
        String admin = environment.getOrDefault("GW_ADMIN_ADDR", "");
        if (!admin.isBlank()) {
            values.put("admin_addr", admin);
        }
        values.putAll(flags);
        Section top = Section.top(values);
        Config config = fromTable(top, environment.getOrDefault("TMPDIR", ""));
        if (ConfigFile.isToml(Path.of(file))) {
            top.refuseUnknown();
        }
        if (!top.faults().isEmpty()) {
            throw new Unusable(file, top.faults());
        }
        return config;
    }

    private static Config fromTable(Section top, String stateFolder) {
        InetSocketAddress listen = top.address("listen");
        InetSocketAddress admin = top.optionalAddress("admin_addr");
        if (admin != null && admin.equals(listen) && admin.getPort() != 0) {
            top.fault("admin_addr", "an address other than that of listen is wanted, not '"
                    + Addresses.text(admin) + "'");
        }
        Section limits = top.section("limits");
        limits.allow("cores", "memory_mb");
        Section settingsTable = top.section("settings");
        Settings settings = readSettings(top, settingsTable.map());
        List<String> zones = settingsTable.map().get("dcs") instanceof List<?> names
                ? names.stream().map(String::valueOf).toList() : List.of();
        Section settingsLimits = settingsTable.section("limits");
        Section metrics = top.optionalSection("metrics");
        FleetConfig fleet = FleetConfig.ofProxy(top,
                !Boolean.FALSE.equals(settingsLimits.map().get("peers")));
        Config config = new Config(top.text("name", ""), listen, top.addresses("discovery", true),
                readSeed(top), (int) limits.whole("sockets", null, 1, Integer.MAX_VALUE), settings, zones,
                settingsLimits.whole("connectTimeoutUs", null, 1, Long.MAX_VALUE),
                settingsLimits.whole("keepaliveUs", null, 0, Long.MAX_VALUE),
                settingsTable.map().get("loadInfo") instanceof Map<?, ?> info
                        && !"none".equals(info.get("how")),
                readKnownList(top, zones), admin, stateFolder.isBlank() ? null : Path.of(stateFolder),
                fleet, readShared(top, fleet, settings), readRolloutReportMs(top),
                LogSettings.of(top.optionalSection("logs")), metrics.flag("enabled", false));
        if (config.metricsEnabled && admin == null) {
            top.fault("metrics.enabled", "admin_addr is wanted too, as metrics are served at that address");
        }
        return config;
    }

    private static long readRolloutReportMs(Section top) {
        if (!top.has("rollout")) {
            return 0;
        }
        String name = top.text("name", "");
        if (!name.matches("[A-Za-z0-9._-]{1,128}")) {
            top.fault("name", "1 to 128 letters, digits, '.', '_' and '-' are wanted, as rollouts identify"
                    + " proxies by name, not '" + name + "'");
        }
        return top.section("rollout").whole("report_ms", 1_000L, 50, 60_000);
    }

    private static SharedSettings readShared(Section top, FleetConfig fleet, Settings settings) {
        if (!top.has("shared") || settings == null) {
            return null;
        }
        if (fleet == null) {
            top.fault("shared", "a membership table is wanted too, and settings.limits.peers must not be"
                    + " false");
            return null;
        }
        return SharedSettings.of(top.section("shared"), fleet.settings().probeIntervalUs() / 1000,
                settings.classes().stream().map(RequestClass::name).toList());
    }

    private static long readSeed(Section top) {
        String text = top.text("seed", null);
        try {
            return text.isEmpty() ? 0 : Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            top.fault("seed", "up to 16 hexadecimal digits are wanted, not '" + text + "'");
            return 0;
        }
    }

    /** Returns the decision module's settings, or null after noting the first fault found in them. */
    private static Settings readSettings(Section top, Map<String, Object> settingsTable) {
        try {
            Settings settings = SettingsReader.read(settingsTable);
            SettingsCheck.check(settings);
            return settings;
        } catch (WireException | IllegalArgumentException e) {
            top.fault("settings", e.getMessage());
            return null;
        }
    }

    private static Listing readKnownList(Section top, List<String> zones) {
        if (!top.has("known")) {
            return null;
        }
        try {
            return Listing.of(top.section("known").map(), zones);
        } catch (IllegalArgumentException e) {
            top.fault("known", e.getMessage());
            return null;
        }
    }

    /** Parses {@code IP:PORT}, see {@link Addresses#parse}. */
    static InetSocketAddress address(Object value) {
        return Addresses.parse(value);
    }

    /**
     * Returns the keys whose values differ in {@code next} and that a running proxy can't apply at SIGHUP.
     */
    List<String> keysNeedingRestart(Config next) {
        List<String> keys = new ArrayList<>();
        if (!listen.equals(next.listen) && listen.getPort() != 0) {
            keys.add("listen");
        }
        if (!settings.equals(next.settings)) {
            keys.add("settings");
        }
        if (sockets != next.sockets) {
            keys.add("limits.sockets");
        }
        return keys;
    }
}
