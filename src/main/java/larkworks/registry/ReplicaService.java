package larkworks.registry;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import larkworks.platform.Addresses;
import larkworks.platform.SteadyClock;
import larkworks.rollout.Report;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.protocol.exceptions.NotLeaderException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One of several replicas of the list service, on its event loop: it serves reads and watches from what is
 * applied here and says how old that may be, and passes writes and heartbeats on to the leader.
 */
final class ReplicaService implements ListCalls, ReplicaOwner {

    /** Milliseconds since all that a leader had committed was applied here; see {@link RaftNode#heardMs}. */
    static final String AGE = "X-Registry-Age";
    /** There and {@code true} where that is longer than the bound, or was never so since the start. */
    static final String STALE = "X-Registry-Stale";

    private static final Logger LOG = LoggerFactory.getLogger("registry");
    private static final long LOOK_MS = 50;
    private static final long MOST_WRITE_MS = 3_000;
    private static final long MOST_QUERY_MS = 1_000;
    private static final long MOST_CHANGE_MS = 20_000;

    private final EventLoop loop;
    private final ReplicaSettings settings;
    private final ListStateMachine machine = new ListStateMachine();
    private final Watches watches;
    private final LeaderDuties duties;
    private RaftNode node;
    private Forwarder writes;
    private Forwarder queries;
    private ScheduledFuture<?> looking;
    /** When all that a leader had committed was applied here, by {@link System#nanoTime}. */
    private long currentAt;
    private boolean everCurrent;
    /** Why the log can't be written any more; null while it can. */
    private String broken;

    ReplicaService(EventLoop loop, ReplicaSettings settings, Admission.Settings admission,
            int maxTombstones) {
        this.loop = loop;
        this.settings = settings;
        watches = new Watches(loop, machine::catalog, machine.admission());
        duties = new LeaderDuties(machine, admission, maxTombstones, this::decide);
    }

    /** Begins to serve; the node may have applied entries before. */
    void start(RaftNode own) {
        node = own;
        writes = new Forwarder("writes", loop, own, (client, message) -> client.io().send(message),
                MOST_WRITE_MS);
        queries = new Forwarder("queries", loop, own, (client, message) -> {
            RaftPeerId leader = own.leader();
            if (leader == null) {
                throw new NotLeaderException(null, null, null);
            }
            return client.io().sendReadOnly(message, leader);
        }, MOST_QUERY_MS);
        looking = loop.scheduleAtFixedRate(this::look, 0, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /** Ends; watches are answered with what is known. */
    void stop() {
        looking.cancel(false);
        watches.stop();
    }

    /** Gives up what was passed on. Not on the event loop, which hears of it. */
    void stopForwarding() throws IOException {
        writes.close();
        queries.close();
    }

    private void look() {
        if (broken != null) {
            return;
        }
        try {
            long heardMs = node.heardMs();
            if (heardMs >= 0) {
                long at = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(heardMs);
                currentAt = everCurrent ? Math.max(currentAt, at) : at;
                everCurrent = true;
            }
            duties.look(nowMs(), SteadyClock.nowMs());
        } catch (IOException | RuntimeException e) {
            LOG.atError().setCause(e).log("the replica's state can't be told");
        }
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private long ageMs() {
        return everCurrent ? TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - currentAt) : Long.MAX_VALUE;
    }

    private boolean isStale() {
        return broken != null || ageMs() > settings.staleMs();
    }

    @Override
    public Watches lists() {
        return watches;
    }

    @Override
    public void describe(HttpHeaders headers) {
        if (machine.epoch() != null) {
            headers.set(RegistryServer.EPOCH, machine.epoch());
        }
        if (everCurrent) {
            headers.set(AGE, ageMs());
        }
        if (isStale()) {
            headers.set(STALE, "true");
        }
    }

    @Override
    public void checkReadable() throws Refusal {
        if (machine.epoch() == null) {
            throw new Refusal(503, "there is no list yet: no leader has begun");
        }
    }

    @Override
    public Refusal ahead(long from, boolean waited) {
        // The leader too may have committed what it has still to apply, and a follower may be before it.
        if (!waited) {
            return null;
        }
        return duties.leads() && ageMs() < settings.electionMs()
                ? new Refusal(400, "index " + from + " is newer than " + watches.index())
                : new Refusal(503, "this replica is at index " + watches.index() + ", behind " + from);
    }

    private void checkQuorum() throws Refusal {
        if (broken != null) {
            throw new Refusal(503, "this replica's log can't be written (" + broken
                    + "): it takes no part until it is started anew; reads go on, marked stale");
        }
        if (isStale()) {
            throw new Refusal(503, "no quorum of replicas: " + (everCurrent ? "no word of a leader for "
                    + ageMs() + " ms" : "no leader was heard since the start")
                    + "; reads go on, marked stale");
        }
    }

    @Override
    public void write(Command command, Answer<Long> answer) throws Refusal {
        checkQuorum();
        if (command instanceof Command.Register register) {
            register.registration().named(register.name());
        }
        pass(command, answer);
    }

    private void pass(Command command, Answer<Long> answer) {
        writes.submit(command, (part, failure) -> {
            Outcome outcome = failure == null ? read(part, Outcome.class) : null;
            Exception refusal = outcome == null ? failure : outcome.refusal();
            answer.ended(refusal == null ? outcome.index() : 0L, refusal);
        });
    }

    private void decide(Decision decision, Answer<Long> answer) {
        pass(decision, answer);
    }

    @Override
    public void heartbeat(String name, Answer<Long> answer) throws Refusal {
        ask(new LeaderQuery.Beat(name), (value, failure) -> {
            if (failure != null) {
                answer.ended(0L, failure);
            } else if (value.asBoolean()) {
                pass(new Command.Heartbeat(name), answer);
            } else {
                answer.ended(watches.index(), null);
            }
        });
    }

    @Override
    public void resumeAdmission(Answer<Long> answer) throws Refusal {
        write(new Command.ResumeAdmission(), answer);
    }

    @Override
    public void report(String proxy, Report report, Answer<byte[]> answer) throws Refusal {
        ask(new LeaderQuery.Reported(proxy, report), json(answer));
    }

    @Override
    public void rollout(Answer<byte[]> answer) throws Refusal {
        ask(new LeaderQuery.Standing(), json(answer));
    }

    private static Answer<JsonNode> json(Answer<byte[]> answer) {
        return (value, failure) -> answer.ended(failure == null ? Words.bytes(value) : null, failure);
    }

    private void ask(LeaderQuery query, Answer<JsonNode> answer) throws Refusal {
        checkQuorum();
        queries.submit(query, (part, failure) -> {
            LeaderQuery.Reply reply = failure == null ? read(part, LeaderQuery.Reply.class) : null;
            Exception refusal = reply == null ? failure : reply.refusal();
            answer.ended(refusal == null ? reply.value() : null, refusal);
        });
    }

    private static <T> T read(JsonNode part, Class<T> kind) {
        try {
            return Words.record(part, kind);
        } catch (IOException e) {
            throw new IllegalStateException(e);  // written by a replica of the same program
        }
    }

    @Override
    public void setReplicas(Map<String, String> addresses, Answer<Long> answer) throws Refusal {
        checkQuorum();
        checkReplicas(addresses);
        // It waits until the new one has come to the state of the others.
        Thread change = new Thread(() -> {
            Exception[] failure = {null};
            try {
                node.setMembers(addresses, MOST_CHANGE_MS);
            } catch (IOException e) {
                failure[0] = new Refusal(503, "the replicas were not changed: " + e.getMessage());
            }
            loop.execute(() -> answer.ended(watches.index(), failure[0]));
        }, "replicas");
        change.setDaemon(true);
        change.start();
    }

    private void checkReplicas(Map<String, String> addresses) throws Refusal {
        if (addresses == null || addresses.isEmpty()) {
            throw new Refusal(400, "addresses: IP:PORT by id are wanted");
        }
        for (Map.Entry<String, String> replica : addresses.entrySet()) {
            try {
                Addresses.parse(replica.getValue());
            } catch (IllegalArgumentException e) {
                throw new Refusal(400, "addresses." + replica.getKey() + ": IP:PORT is wanted");
            }
            if (!ReplicaSettings.isId(replica.getKey())) {
                throw new Refusal(400, "addresses." + replica.getKey() + ": no id of a replica");
            }
        }
        try {
            Set<String> now = node.members();
            long added = addresses.keySet().stream().filter(id -> !now.contains(id)).count();
            long removed = now.stream().filter(id -> !addresses.containsKey(id)).count();
            if (added > 1 || removed > 1) {
                throw new Refusal(409, "one replica at a time: the present ones are " + now);
            }
        } catch (IOException e) {
            throw new Refusal(503, "the present replicas can't be told: " + e.getMessage());
        }
    }

    @Override
    public Map<String, Object> figures() {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("index", watches.index());
        figures.put("compacted", machine.catalog().compacted());
        figures.put("epoch", machine.epoch());
        figures.put("instances", machine.catalog().size());
        figures.put("leases", duties.leases());
        figures.put("watches", watches.size());
        figures.put("writable", !isStale());
        figures.put("leads", duties.leads());
        figures.put("age_ms", everCurrent ? ageMs() : -1);
        figures.put("stale", isStale());
        try {
            figures.putAll(node.figures());
        } catch (IOException e) {
            figures.put("error", e.getMessage());
        }
        return figures;
    }

    @Override
    public List<Outcome> apply(List<Command> commands, long nowMs, long term) {
        long before = watches.index();
        List<Outcome> outcomes = new ArrayList<>(commands.size());
        for (Command command : commands) {
            outcomes.add(machine.apply(command, nowMs, term, change -> duties.changed(change, nowMs())));
        }
        if (watches.index() > before) {
            watches.publish();
        }
        return outcomes;
    }

    @Override
    public List<LeaderQuery.Reply> query(List<LeaderQuery> asked) {
        List<LeaderQuery.Reply> replies = new ArrayList<>(asked.size());
        for (LeaderQuery query : asked) {
            try {
                replies.add(LeaderQuery.Reply.of(duties.answer(query, nowMs(), SteadyClock.nowMs())));
            } catch (Refusal e) {
                replies.add(LeaderQuery.Reply.refused(e));
            }
        }
        return replies;
    }

    @Override
    public ListStateMachine.Image image() {
        return machine.image();
    }

    @Override
    public void restore(ListStateMachine.Image image) {
        machine.restore(image);
        watches.publish();
    }

    @Override
    public void lead(long term) {
        LOG.atInfo().addKeyValue("term", term).log("leads");
        duties.lead(term, nowMs(), SteadyClock.nowMs());
    }

    @Override
    public void follow() {
        if (duties.leads()) {
            LOG.info("follows");
        }
        duties.follow();
    }

    /** It leaves the group, so that one whose log can be written leads; what was applied is served on. */
    @Override
    public void logFailed(Throwable why) {
        if (broken != null) {
            return;
        }
        broken = ReplicatedRegistry.root(why);
        LOG.atError().addKeyValue("why", broken).log("the log can't be written: no part is taken any more");
        duties.follow();
        Thread end = new Thread(() -> {
            try {
                node.close();
            } catch (IOException e) {
                LOG.atError().setCause(e).log("the engine did not end cleanly");
            }
        }, "engine-end");
        end.setDaemon(true);
        end.start();
    }
}
