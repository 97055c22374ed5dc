package larkworks.registry;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.UUID;
import larkworks.rollout.RolloutState;
import larkworks.rollout.Rollouts;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the leader of the replicas does beyond the log: it holds leases and the proxies' reports in memory,
 * and decides when a lease ends and when admission and a rollout move on. Its decisions go through the log.
 */
final class LeaderDuties {

    private static final Logger LOG = LoggerFactory.getLogger("registry");
    /** How soon an end of a lease that did not come into force is tried again. */
    private static final long LEASE_AGAIN_MS = 1_000;

    /** Has a decision put into the log. */
    interface Decided {
        void decide(Decision decision, Answer<Long> answer);
    }

    private final ListStateMachine machine;
    private final Admission.Settings rules;
    private final int maxTombstones;
    private final Decided log;
    private Leases leases = new Leases();
    private Rollouts rollouts = new Rollouts(0);
    /** Names whose lease has ended by a decision that is on its way. */
    private final Set<String> expiring = new HashSet<>();
    /** The term in which this replica leads; 0 while it does not. */
    private long term;
    /** Whether the first decision of this term is in force; before, there is no other. */
    private boolean begun;
    private boolean beginning;
    private boolean admitting;
    private boolean stepping;

    /**
     * Duties of a replica that does not lead yet.
     *
     * @param rules how new servers are admitted while this replica leads
     * @param maxTombstones removed instances that are remembered while this replica leads
     */
    LeaderDuties(ListStateMachine machine, Admission.Settings rules, int maxTombstones, Decided log) {
        this.machine = machine;
        this.rules = rules;
        this.maxTombstones = maxTombstones;
        this.log = log;
    }

    boolean leads() {
        return term > 0;
    }

    int leases() {
        return leases.size();
    }

    /**
     * Leads from now on. Every lease has its full time: heartbeats went to another leader before, or could
     * not come.
     */
    void lead(long now, long nowMs, long unixMs) {
        follow();
        term = now;
        leases = new Leases();
        machine.catalog().live().forEach(instance -> leases.renew(instance, nowMs));
        rollouts = new Rollouts(unixMs);
    }

    /** Leads no more. */
    void follow() {
        term = 0;
        begun = false;
        beginning = false;
        admitting = false;
        stepping = false;
        expiring.clear();
        leases = new Leases();
    }

    /** An instance changed: its lease begins anew. */
    void changed(Change change, long nowMs) {
        if (leads() && change.instance() != null) {
            leases.renew(change.instance(), nowMs);
        }
    }

    /** To be called some times a second. */
    void look(long nowMs, long unixMs) {
        if (!leads()) {
            return;
        }
        if (!begun) {
            begin();
            return;
        }
        endLeases(nowMs);
        rollOut(unixMs);
        admit(unixMs);
    }

    private void begin() {
        if (beginning) {
            return;
        }
        beginning = true;
        long mine = term;
        log.decide(new Decision.Lead(term, UUID.randomUUID().toString(), rules, maxTombstones),
                (index, failure) -> {
                    if (mine == term) {
                        beginning = false;
                        begun = failure == null;
                    }
                });
    }

    private void endLeases(long nowMs) {
        List<String> due = leases.due(nowMs, nowMs + LEASE_AGAIN_MS);
        if (due.isEmpty()) {
            return;
        }
        LOG.atInfo().addKeyValue("instances", due).log("leases ended");
        expiring.addAll(due);
        long mine = term;
        log.decide(new Decision.Expire(term, due), (index, failure) -> {
            if (mine == term) {
                due.forEach(expiring::remove);
            }
        });
    }

    private void rollOut(long unixMs) {
        RolloutState now = machine.catalog().rollout();
        // One step at a time: the next is judged by what the proxies were told of this one.
        if (now == null || stepping) {
            return;
        }
        RolloutState next = rollouts.step(now, unixMs);
        if (next == now) {
            return;
        }
        LOG.atInfo().addKeyValue("rollout", next.plan().name()).addKeyValue("version", next.version())
                .addKeyValue("phase", next.phase().wire()).addKeyValue("wave", next.wave())
                .addKeyValue("why", next.reason()).log("rollout");
        stepping = true;
        long mine = term;
        log.decide(new Decision.StepRollout(term, now.phase(), now.wave(), now.sinceMs(), next),
                (index, failure) -> stepping = mine != term && stepping);
    }

    private void admit(long unixMs) {
        Admission admission = machine.admission();
        if (!admission.on() || admitting) {
            return;
        }
        Map<String, Integer> from = new TreeMap<>();
        Map<String, Integer> to = new TreeMap<>();
        admission.step(machine.catalog().live(), rollouts.resting(unixMs), unixMs).forEach(next -> {
            from.put(next.name(), machine.catalog().get(next.name()).ramp());
            to.put(next.name(), next.ramp());
        });
        if (to.isEmpty()) {
            return;
        }
        LOG.atInfo().addKeyValue("to", to).log("admission");
        admitting = true;
        long mine = term;
        log.decide(new Decision.Ramp(term, from, to),
                (index, failure) -> admitting = mine != term && admitting);
    }

    /**
     * Answers a query.
     *
     * @throws Refusal 503 where this replica does not lead, or as the list has it
     */
    Object answer(LeaderQuery query, long nowMs, long unixMs) throws Refusal {
        if (!leads()) {
            throw new Refusal(503, "this replica does not lead");
        }
        if (query instanceof LeaderQuery.Beat beat) {
            Instance held = machine.leased(beat.name());
            if (held.expired() || expiring.contains(beat.name())) {
                return true;
            }
            leases.renew(held, nowMs);
            return false;
        }
        if (query instanceof LeaderQuery.Reported reported) {
            rollouts.report(reported.proxy(), reported.report(), unixMs);
            return rollouts.target(machine.catalog().rollout(), reported.proxy(), unixMs);
        }
        Map<String, Object> standing = new LinkedHashMap<>();
        standing.put("state", machine.catalog().rollout());
        standing.put("reports", rollouts.reports());
        return standing;
    }
}
