package larkworks.registry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import larkworks.Program;
import larkworks.SocketOwner;
import larkworks.TcpRelay;

/** The replicas of a list service as processes, with a relay before each of them that can cut it off. */
final class Replicas implements AutoCloseable {

    private static final Pattern LOG_PART = Pattern.compile("log_(?:inprogress_)?([0-9]+)(?:-[0-9]+)?");

    private final Path folder;
    private final String settings;
    private final String[] arguments;
    /** Before each of them; none where they connect to each other directly. */
    private final Map<String, TcpRelay> relays = new TreeMap<>();
    private final Set<String> joined = new HashSet<>();
    /** Those that have been started; a writer may ask for them at any time. */
    private final List<String> ids = new CopyOnWriteArrayList<>();
    private final Map<String, Integer> ports = new TreeMap<>();
    private final Map<String, Program> programs = new ConcurrentHashMap<>();
    private final Map<String, Caller> callers = new ConcurrentHashMap<>();

    /**
     * Starts them all.
     *
     * @param settings more lines for the replicas table
     * @param arguments more arguments for each process
     */
    Replicas(Path folder, int count, String settings, String... arguments)
            throws IOException, InterruptedException {
        this(folder, count, true, settings, arguments);
    }

    /** The same; {@code relayed} says whether relays stand between them, which take time of their own. */
    Replicas(Path folder, int count, boolean relayed, String settings, String... arguments)
            throws IOException, InterruptedException {
        this.folder = folder;
        this.settings = settings;
        this.arguments = arguments;
        for (int i = 0; i < count; i++) {
            String id = String.valueOf((char) ('a' + i));
            int port = freePort();
            ports.put(id, port);
            if (relayed) {
                relays.put(id, new TcpRelay(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)));
            }
        }
        for (String id : ports.keySet()) {
            launch(id, "");
        }
        for (String id : ports.keySet()) {
            await(id);
            ids.add(id);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    List<String> ids() {
        return List.copyOf(ids);
    }

    /** Those but one. */
    List<String> others(String id) {
        return ids().stream().filter(other -> !other.equals(id)).toList();
    }

    Caller caller(String id) {
        return callers.get(id);
    }

    Program program(String id) {
        return programs.get(id);
    }

    Path data(String id) {
        return folder.resolve(id);
    }

    /** Starts one more, which waits to be taken in; from now on it counts among {@link #ids}. */
    void join(String id) throws IOException, InterruptedException {
        int port = freePort();
        ports.put(id, port);
        relays.put(id, new TcpRelay(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)));
        joined.add(id);
        start(id, "");
        ids.add(id);
    }

    /** The body of a call that has the service kept by these. */
    String replicas(List<String> wanted) {
        return "{\"addresses\":{" + String.join(",", wanted.stream()
                .map(id -> "\"" + id + "\":\"" + relays.get(id).address() + "\"").toList()) + "}}";
    }

    /** Starts one; {@code shell} as with {@link Program}. */
    void start(String id, String shell) throws IOException, InterruptedException {
        launch(id, shell);
        await(id);
    }

    /** The same, without waiting until it serves. */
    void launch(String id, String shell) throws IOException {
        StringBuilder toml = new StringBuilder("[replicas]\nid = \"" + id + "\"\nlisten = \"127.0.0.1:"
                + ports.get(id) + "\"\n" + settings + (joined.contains(id) ? "join = true" : "")
                + "\n[replicas.addresses]\n");
        ports.forEach((other, port) -> toml.append(other).append(" = \"")
                .append(relays.containsKey(other) ? relays.get(other).address() : "127.0.0.1:" + port)
                .append("\"\n"));
        Path file = folder.resolve(id + ".toml");
        Files.writeString(file, toml);
        List<String> args = new ArrayList<>(List.of("registry", "--listen", "127.0.0.1:0", "--data",
                data(id).toString(), "--replicas", file.toString()));
        args.addAll(List.of(arguments));
        programs.put(id, new Program(shell, Map.of(), args.toArray(String[]::new)));
    }

    private void await(String id) throws InterruptedException {
        callers.put(id, new Caller((String) programs.get(id).awaitLogLine("serving").get("address")));
    }

    /** The index of the first entry that its log still has. */
    long logStart(String id) {
        try (Stream<Path> files = Files.walk(data(id))) {
            return files.map(file -> LOG_PART.matcher(file.getFileName().toString()))
                    .filter(Matcher::matches).mapToLong(part -> Long.parseLong(part.group(1))).min()
                    .orElse(0);
        } catch (IOException | UncheckedIOException e) {
            return 0;  // a part went while the folder was read
        }
    }

    /** From now on no file of this process grows past so many bytes: its disk is full. */
    void limitFiles(String id, long bytes) throws IOException, InterruptedException {
        new ProcessBuilder("prlimit", "--pid", String.valueOf(program(id).process.pid()),
                "--fsize=" + bytes).inheritIO().start().waitFor();
    }

    void kill(String id) throws InterruptedException {
        programs.get(id).kill();
    }

    /** From now on nothing passes between one replica and the others, in either direction. */
    void cut(String alone) throws IOException {
        for (String id : ids()) {
            relays.get(id).partition(near -> ids().stream().anyMatch(other ->
                    id.equals(alone) != other.equals(alone)
                            && SocketOwner.ownsRemoteEnd(programs.get(other).process, near)));
        }
    }

    void heal() throws IOException {
        for (TcpRelay relay : relays.values()) {
            relay.partition(near -> false);
        }
    }

    Map<String, Object> status(String id) {
        try {
            return caller(id).call("GET", "/registry/v1/status", "").body();
        } catch (IOException | InterruptedException e) {
            return Map.of();  // not up
        }
    }

    /** Waits until one of these leads and has begun, and says which. */
    String awaitLeader(List<String> among) throws InterruptedException {
        List<String> leader = new ArrayList<>();
        Program.await(30, () -> among.stream().map(this::status).toList() + " " + programs.values().stream()
                .map(p -> p.lines).toList(), () -> {
            leader.clear();
            among.stream().filter(id -> Boolean.TRUE.equals(status(id).get("leads"))
                    && status(id).get("epoch") != null).forEach(leader::add);
            return leader.size() == 1;
        });
        return leader.get(0);
    }

    /** Waits until these all hold the same list, fresh by their word, and returns it. */
    Caller.Answer awaitSame(List<String> among) throws IOException, InterruptedException {
        List<Caller.Answer> lists = new ArrayList<>();
        Program.await(30, () -> among.stream().map(this::status).toList().toString(), () -> {
            lists.clear();
            for (String id : among) {
                try {
                    lists.add(caller(id).list(""));
                } catch (IOException | InterruptedException e) {
                    return false;
                }
            }
            return lists.stream().allMatch(list -> list.status() == 200
                    && list.header(ReplicaService.STALE).isEmpty()
                    && list.body().equals(lists.get(0).body()));
        });
        return lists.get(0);
    }

    @Override
    public void close() throws IOException {
        programs.values().forEach(Program::close);
        for (TcpRelay relay : relays.values()) {
            relay.close();
        }
    }
}
