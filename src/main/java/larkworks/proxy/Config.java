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
 * What a proxy is told at its start.
 *
 * @param name its name, the same after a restart; "" where none is told
 * @param listen where clients connect
 * @param discovery where the list of backends is to be had: one address or more, tried in turn
 * @param seed for the module's random numbers
 * @param sockets descriptors that the process may hold
 * @param settings the module's settings
 * @param zones names of the zones, by position
 * @param connectTimeoutUs a connection not up by then counts as failed
 * @param keepAliveUs backends close a connection that was idle for so long
 * @param loadReports whether backends tell their load when probed
 * @param known the list of backends as last held, perhaps old; null where there is none
 * @param admin where the operators' calls come; null where there is no such address
 * @param state the folder that outlives this process; null where none is named
 * @param fleet the other proxies of the tier; null where membership is off
 * @param shared what is shared with them; null where nothing is
 * @param rolloutReportMs how often the list service is told how the version run does, and asked which to run;
 *     0 where this proxy takes no part in rollouts
 * @param logs what is logged
 * @param metrics whether metrics are kept and told at the operators' address
 */
public record Config(String name, InetSocketAddress listen, List<InetSocketAddress> discovery, long seed,
        int sockets, Settings settings, List<String> zones, long connectTimeoutUs, long keepAliveUs,
        boolean loadReports, Listing known, InetSocketAddress admin, Path state, FleetConfig fleet,
        SharedSettings shared, long rolloutReportMs, LogSettings logs, boolean metrics) {

    /**
     * Reads a file, in TOML or as the platform writes it. What the command line says goes before
     * {@code GW_ADMIN_ADDR}, which is told to one process alone, and that before the file; {@code GW_NAME},
     * {@code GW_LISTEN} and {@code GW_DISCOVERY} fill in only what the file leaves out, as the file may be
     * replaced while the process runs.
     *
     * @param flags values by key, which stand before the file's
     * @throws Unusable naming everything that is wrong
     */
    public static Config read(String file, Map<String, String> environment, Map<String, String> flags)
            throws Unusable {
        return read(file, environment, flags, null);
    }

    /** Reads a file with a rollout's merge patch applied to it; null for none. */
    static Config read(String file, Map<String, String> environment, Map<String, String> flags,
            JsonNode patch) throws Unusable {
        if (file == null || file.isBlank()) {
            throw new Unusable("GW_CONFIG", List.of("names no file"));
        }
        Map<Object, Object> values = new LinkedHashMap<>(ConfigFile.read(Path.of(file)));
        if (patch != null) {
            ObjectMapper json = new ObjectMapper();
            JsonNode patched = Rollouts.patched(json.valueToTree(values), patch);
            values.putAll(json.convertValue(patched, new TypeReference<Map<String, Object>>() { }));
        }
        Map.of("name", "GW_NAME", "listen", "GW_LISTEN", "discovery", "GW_DISCOVERY").forEach((key, from) -> {
            if (values.get(key) == null && !environment.getOrDefault(from, "").isBlank()) {
                values.put(key, environment.get(from));
            }
        });
        String admin = environment.getOrDefault("GW_ADMIN_ADDR", "");
        if (!admin.isBlank()) {
            values.put("admin_addr", admin);
        }
        values.putAll(flags);
        Section top = Section.top(values);
        Config config = of(top, environment.getOrDefault("TMPDIR", ""));
        if (ConfigFile.isToml(Path.of(file))) {
            top.refuseUnknown();
        }
        if (!top.faults().isEmpty()) {
            throw new Unusable(file, top.faults());
        }
        return config;
    }

    private static Config of(Section top, String state) {
        InetSocketAddress listen = top.address("listen");
        InetSocketAddress admin = top.optionalAddress("admin_addr");
        if (admin != null && admin.equals(listen) && admin.getPort() != 0) {
            top.fault("admin_addr", "is the address of listen");
        }
        Section limits = top.section("limits");
        limits.allow("cores", "memory_mb");
        Section params = top.section("settings");
        Settings settings = settings(top, params.map());
        List<String> zones = params.map().get("dcs") instanceof List<?> names
                ? names.stream().map(String::valueOf).toList() : List.of();
        Section bounds = params.section("limits");
        Section metrics = top.optionalSection("metrics");
        FleetConfig fleet = FleetConfig.ofProxy(top, !Boolean.FALSE.equals(bounds.map().get("peers")));
        Config config = new Config(top.text("name", ""), listen, top.addresses("discovery", true), seed(top),
                (int) limits.whole("sockets", null, 1, Integer.MAX_VALUE), settings, zones,
                bounds.whole("connectTimeoutUs", null, 1, Long.MAX_VALUE),
                bounds.whole("keepaliveUs", null, 0, Long.MAX_VALUE),
                params.map().get("loadInfo") instanceof Map<?, ?> info && !"none".equals(info.get("how")),
                known(top, zones), admin, state.isBlank() ? null : Path.of(state),
                fleet, shared(top, fleet, settings), rollout(top),
                LogSettings.of(top.optionalSection("logs")), metrics.flag("enabled", false));
        if (config.metrics && admin == null) {
            top.fault("metrics.enabled", "admin_addr is wanted, where metrics are told");
        }
        return config;
    }

    private static long rollout(Section top) {
        if (!top.has("rollout")) {
            return 0;
        }
        String name = top.text("name", "");
        if (!name.matches("[A-Za-z0-9._-]{1,128}")) {
            top.fault("name", "letters, digits, '.', '_' and '-' are wanted, as rollouts know proxies by it");
        }
        return top.section("rollout").whole("report_ms", 1_000L, 50, 60_000);
    }

    private static SharedSettings shared(Section top, FleetConfig fleet, Settings settings) {
        if (!top.has("shared") || settings == null) {
            return null;
        }
        if (fleet == null) {
            top.fault("shared", "a membership table is wanted, and settings that allow peers");
            return null;
        }
        return SharedSettings.of(top.section("shared"), fleet.settings().probeIntervalUs() / 1000,
                settings.classes().stream().map(RequestClass::name).toList());
    }

    private static long seed(Section top) {
        String text = top.text("seed", null);
        try {
            return text.isEmpty() ? 0 : Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            top.fault("seed", "up to 16 hexadecimal digits are wanted, not '" + text + "'");
            return 0;
        }
    }

    /** Null where they can't be read, or make no sense: the first reason is a fault. */
    private static Settings settings(Section top, Map<String, Object> params) {
        try {
            Settings settings = SettingsReader.read(params);
            SettingsCheck.check(settings);
            return settings;
        } catch (WireException | IllegalArgumentException e) {
            top.fault("settings", e.getMessage());
            return null;
        }
    }

    private static Listing known(Section top, List<String> zones) {
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

    /** Reads {@code host:port}; see {@link Addresses#parse}. */
    static InetSocketAddress address(Object value) {
        return Addresses.parse(value);
    }

    /** What of a configuration a running proxy takes up at SIGHUP, and what it would need a restart for. */
    List<String> restartNeeded(Config next) {
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
