package larkworks.shared;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import larkworks.Balancer.Server;
import larkworks.Balancer.ServerStatus;
import larkworks.Balancer.Verdict;
import larkworks.platform.Datagram;
import larkworks.shared.StateMessage.Ask;
import larkworks.shared.StateMessage.Gossip;
import larkworks.shared.StateMessage.Grant;
import larkworks.shared.StateMessage.Register;

/**
 * All that one process shares: it takes what the module says of servers and spends, what other processes
 * send, and ticks, and tells the module what follows. One thread, the proxy's loop. Times are Unix
 * milliseconds.
 */
public final class SharedState {

    /** How the fleet is reached; membership's side. */
    public interface Peers {
        /** Sends a datagram to a member. */
        void send(int to, byte[] datagram);

        /** Other members held alive or suspect. */
        List<Integer> present();

        /** The longest that a member held present has not been heard, in ms; 0 where there is no other. */
        long silenceMs();
    }

    /** The module's side: what it is told. */
    public interface Module {
        /** Another process holds this against a server until then; 0 takes it back. */
        void verdict(String server, Verdict verdict, long untilMs);

        /**
         * So many requests may go to a server until then; {@code untilMs} of 0: as many as the module
         * likes.
         */
        void serverBudget(String server, long left, long untilMs);

        /** So many requests of a class may be taken until then. */
        void classBudget(String name, long left, long untilMs);

        /** A class goes to these servers first. */
        void affinity(String name, Collection<String> servers);
    }

    private static final JsonFactory JSON = new JsonFactory();
    private static final String SERVER = "server:";
    private static final String CLASS = "class:";
    /** Rounds of gossip in which all registers go again, however often they went: one in so many. */
    private static final int SLOW_ROUNDS = 10;
    /** Sends of a register by each process that has it, for each decimal of the members' count. */
    private static final int EAGER = 4;
    /** The module says a verdict anew at each failure; only what moves its end by so much is sent. */
    private static final long NEWS_MS = 500;

    private final SharedSettings settings;
    private final int self;
    private final int members;
    private final LongSupplier nowMs;
    private final Random random;
    private final Peers peers;
    private final Module module;
    private final Verdicts verdicts;
    private final Budgets budgets;
    private final Affinity affinity;
    private final List<String> classes;
    private final long coldMs;
    private final Set<String> listed = new HashSet<>();
    private final Map<Long, String> names = new HashMap<>();
    private final Map<String, Long> coldUntil = new HashMap<>();
    private final Map<String, Long> drops = new TreeMap<>();
    private final Map<String, List<String>> preferred = new HashMap<>();
    private final List<String> fresh = new ArrayList<>();
    private long nextGossipMs;
    private long rounds;

    /**
     * @param classes names of the classes of requests
     * @param coldMs how long a server is cold after its start
     */
    public SharedState(SharedSettings settings, int self, int members, List<String> classes, long coldMs,
            LongSupplier nowMs, Random random, Peers peers, Module module) {
        this.settings = settings;
        this.self = self;
        this.members = members;
        this.classes = List.copyOf(classes);
        this.coldMs = coldMs;
        this.nowMs = nowMs;
        this.random = random;
        this.peers = peers;
        this.module = module;
        verdicts = new Verdicts(self, settings.verdictMaxMs(), this::told);
        budgets = new Budgets(self, members, nowMs.getAsLong(), random, new Lending());
        affinity = new Affinity(settings.spread());
    }

    /** The class budgets hold from here on. */
    public void start() {
        settings.classes().forEach((name, budget) -> budgets.open(nowMs.getAsLong(), CLASS + name,
                budget.requests(), budget.windowMs()));
    }

    private final class Lending implements Budgets.Owner {
        @Override
        public void left(String key, long tokens, long untilMs) {
            if (key.startsWith(SERVER)) {
                module.serverBudget(key.substring(SERVER.length()), tokens, untilMs);
            } else {
                module.classBudget(key.substring(CLASS.length()), tokens, untilMs);
            }
        }

        @Override
        public void send(int to, StateMessage message) {
            peers.send(to, StateCodec.encode(message));
        }

        @Override
        public List<Integer> others() {
            return peers.present();
        }
    }

    // ---- from the module

    /** The module holds this against a server until then; 0 where it has just found it well. */
    public void held(String server, Verdict verdict, long untilMs) {
        long now = nowMs.getAsLong();
        long key = Hash.of(server);
        Reason reason = Reason.of(verdict);
        long before = verdicts.untilMs(now, key, reason);
        if (untilMs == 0 ? before > 0 : untilMs - before >= NEWS_MS) {
            verdicts.set(now, key, reason, untilMs);
            gossip(now);
        }
    }

    /** A request went to a server that has a budget. */
    public void serverSpent(String server) {
        budgets.spent(nowMs.getAsLong(), SERVER + server);
    }

    /** A request would have gone to a server whose budget is spent here. */
    public void serverWanting(String server) {
        budgets.wanting(nowMs.getAsLong(), SERVER + server);
    }

    /** A request of a class that has a budget was taken. */
    public void classSpent(String name) {
        budgets.spent(nowMs.getAsLong(), CLASS + name);
    }

    /** A request of a class whose budget is spent here was refused. */
    public void classWanting(String name) {
        budgets.wanting(nowMs.getAsLong(), CLASS + name);
    }

    // ---- from discovery

    /**
     * The list of servers, or changes to it, before the module is told of it.
     *
     * @param changes false where it is the whole list
     */
    public void listed(boolean changes, Collection<Server> servers) {
        long now = nowMs.getAsLong();
        if (!changes) {
            listed.clear();
        }
        for (Server server : servers) {
            if (server.status() == ServerStatus.GONE) {
                listed.remove(server.id());
                continue;
            }
            listed.add(server.id());
            if (names.put(Hash.of(server.id()), server.id()) == null) {
                fresh.add(server.id());
            }
            long warmMs = server.startedAtUs() / 1000 + coldMs;
            if (settings.cold() != null && server.startedAtUs() > 0 && warmMs > now) {
                coldUntil.put(server.id(), warmMs);
                budgets.open(now, SERVER + server.id(), settings.cold().requests(),
                        settings.cold().windowMs());
            }
        }
        names.values().retainAll(listed);
        warmed(now);
        if (settings.spread() > 0) {
            affinity.list(listed);
            for (String name : classes) {
                List<String> chosen = affinity.of(name);
                if (!chosen.equals(preferred.put(name, chosen))) {
                    module.affinity(name, chosen);
                }
            }
        }
    }

    /** A new module has taken the place of the one before: it is told all that was told before. */
    public void renew() {
        budgets.tellAll();
        preferred.forEach(module::affinity);
        fresh.addAll(listed);
        known();
    }

    /** The module knows the list now: it is told what others said of a server before that was listed here. */
    public void known() {
        long now = nowMs.getAsLong();
        for (String name : fresh) {
            for (Reason reason : Reason.values()) {
                long until = verdicts.untilMs(now, Hash.of(name), reason);
                if (until > 0) {
                    module.verdict(name, reason.verdict(), until);
                }
            }
        }
        fresh.clear();
    }

    /** Servers that are warm, or gone, have no budget any more. */
    private void warmed(long now) {
        coldUntil.entrySet().removeIf(cold -> {
            boolean over = cold.getValue() <= now || !listed.contains(cold.getKey());
            if (over) {
                budgets.close(SERVER + cold.getKey());
                module.serverBudget(cold.getKey(), 0, 0);
            }
            return over;
        });
    }

    // ---- from the fleet

    /** Whether a datagram is one of shared state, by its first byte. */
    public static boolean isOne(byte[] bytes, int length) {
        return length > 0 && bytes[0] == StateCodec.VERSION;
    }

    /**
     * Takes a datagram.
     *
     * @param from id of the member whose address it came from, -1 where it is no member's
     */
    public void receive(int from, byte[] bytes, int length) {
        StateMessage message;
        try {
            message = StateCodec.decode(bytes, length);
        } catch (Datagram.Malformed e) {
            drops.merge(e.getMessage(), 1L, Long::sum);
            return;
        }
        if (from < 0 || message.sender() != from || from == self) {
            drops.merge("sender", 1L, Long::sum);
            return;
        }
        long now = nowMs.getAsLong();
        if (message instanceof Gossip gossip) {
            boolean news = false;
            for (Register register : gossip.registers()) {
                if (register.origin() >= members) {
                    drops.merge("origin", 1L, Long::sum);
                } else {
                    news |= verdicts.merge(now, register);
                }
            }
            if (news) {
                gossip(now);  // passed on at once: each step by the clock would cost a round
            }
        } else if (message instanceof Ask ask) {
            budgets.receive(now, ask);
        } else if (message instanceof Grant grant) {
            budgets.receive(now, grant);
        }
    }

    private void told(Register register) {
        String name = names.get(register.server());
        if (name != null) {
            module.verdict(name, register.reason().verdict(), register.untilMs());
        }
    }

    /** Moves on: epochs begin, state is sent. To be called every few milliseconds. */
    public void tick() {
        long now = nowMs.getAsLong();
        budgets.tick(now);
        if (now >= nextGossipMs) {
            nextGossipMs = now + settings.gossipMs();
            budgets.giveUpAsks();
            verdicts.expire(now);
            warmed(now);
            rounds++;
            gossip(now);
        }
    }

    private void gossip(long now) {
        if (verdicts.size() == 0) {
            return;
        }
        List<Integer> others = new ArrayList<>(peers.present());
        Collections.shuffle(others, random);
        int eager = EAGER * (int) Math.ceil(Math.log10(members + 1));
        for (int to : others.subList(0, Math.min(settings.fanout(), others.size()))) {
            List<Register> registers = verdicts.take(StateCodec.MOST_REGISTERS, eager,
                    rounds % SLOW_ROUNDS == 0);
            if (!registers.isEmpty()) {
                peers.send(to, StateCodec.encode(new Gossip(self, registers)));
            }
        }
    }

    // ---- for the operator

    /**
     * What is shared, as JSON: {@code {"verdicts": {"held", "in_force": [{"server", "reason", "until_ms",
     * "origin"}], "oldest_unmerged_ms", "bound_ms", "most_lag_ms"}, "budgets": {"oldest_unmerged_ms", "keys":
     * [...]}, "affinity": {...}, "dropped": {reason: count}}}. {@code oldest_unmerged_ms} is how long ago the
     * member present that has been silent for longest was heard: it may know what is not known here.
     */
    public String json() {
        long now = nowMs.getAsLong();
        StringWriter text = new StringWriter(512);
        try (JsonGenerator g = JSON.createGenerator(text)) {
            g.writeStartObject();
            g.writeObjectFieldStart("verdicts");
            g.writeNumberField("held", verdicts.size());
            g.writeNumberField("oldest_unmerged_ms", peers.silenceMs());
            g.writeNumberField("bound_ms", settings.verdictBoundMs());
            g.writeNumberField("most_lag_ms", verdicts.mostLagMs());
            g.writeNumberField("dropped", verdicts.dropped());
            g.writeArrayFieldStart("in_force");
            for (Register r : verdicts.inForce(now)) {
                g.writeStartObject();
                g.writeStringField("server", names.getOrDefault(r.server(), Long.toHexString(r.server())));
                g.writeStringField("reason", r.reason().name().toLowerCase(Locale.ROOT));
                g.writeNumberField("until_ms", r.untilMs());
                g.writeNumberField("origin", r.origin());
                g.writeEndObject();
            }
            g.writeEndArray();
            g.writeEndObject();
            g.writeObjectFieldStart("budgets");
            g.writeNumberField("oldest_unmerged_ms", peers.silenceMs());
            g.writeArrayFieldStart("keys");
            for (Budgets.Figures b : budgets.figures()) {
                g.writeStartObject();
                g.writeStringField("key", b.name());
                g.writeNumberField("per_epoch", b.perEpoch());
                g.writeNumberField("epoch_ms", b.epochMs());
                g.writeNumberField("own", b.own());
                g.writeNumberField("left", b.left());
                g.writeNumberField("spent", b.spent());
                g.writeNumberField("lent", b.lent());
                g.writeNumberField("borrowed", b.borrowed());
                g.writeEndObject();
            }
            g.writeEndArray();
            g.writeEndObject();
            g.writeObjectFieldStart("affinity");
            for (Map.Entry<String, List<String>> e : preferred.entrySet()) {
                g.writeArrayFieldStart(e.getKey());
                for (String server : e.getValue()) {
                    g.writeString(server);
                }
                g.writeEndArray();
            }
            g.writeEndObject();
            g.writeObjectFieldStart("dropped");
            for (Map.Entry<String, Long> e : drops.entrySet()) {
                g.writeNumberField(e.getKey(), e.getValue());
            }
            g.writeEndObject();
            g.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);  // a StringWriter raises none
        }
        return text.toString();
    }
}
