package larkworks.registry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import larkworks.rollout.RolloutState;

/**
 * Decides on writes: each call is judged against the list as it will be once all that was granted before is
 * on disk, so that two calls on their way together can't both have a name or an address. No I/O, no clock.
 */
final class Registrar {

    private final Catalog catalog;
    private final Admission admission;
    /** Granted, not on disk yet: the latest change by name, and who claims an address. */
    private final Map<String, Change> pending = new HashMap<>();
    private final Map<String, String> claims = new HashMap<>();
    private long granted;
    /** The rollout once all that was granted is on disk. */
    private RolloutState rollout;

    Registrar(Catalog catalog, Admission admission) {
        this.admission = admission;
        this.catalog = catalog;
        granted = catalog.index();
        rollout = catalog.rollout();
    }

    /** The rollout as it will be once all that was granted is on disk; null where there never was one. */
    RolloutState rollout() {
        return rollout;
    }

    /** The version that the next change makes. */
    long nextIndex() {
        return granted + 1;
    }

    /** Moves the rollout on. */
    Change rollOut(RolloutState next) {
        rollout = next;
        return new Change(++granted, null, next);
    }

    /**
     * Registers an instance; doing so again with the same words changes nothing.
     *
     * @return the change, null where all is as asked already
     * @throws Refusal 400 for a bad field, 409 where the name has another address or the address another name
     */
    Change register(String name, Registration asked, long nowMs) throws Refusal {
        Instance held = held(name);
        Instance next = admission.entering(asked.named(name), held, nowMs);
        if (held != null && !held.gone() && !held.address().equals(next.address())) {
            throw new Refusal(409, "name '" + name + "' is registered at " + held.address());
        }
        String holder = claims.getOrDefault(next.address(), catalog.holder(next.address()));
        Instance other = holder == null || holder.equals(name) ? null : held(holder);
        if (other != null && !other.gone() && other.address().equals(next.address())) {
            throw new Refusal(409, "address " + next.address() + " is registered by '" + holder + "'");
        }
        return next.equals(held) ? null : grant(next);
    }

    /**
     * Sets an instance's status; {@code terminated} removes it.
     *
     * @return the change, null where it has that status already
     * @throws Refusal 404 for an unknown or terminated instance, 400 for no status
     */
    Change setStatus(String name, Status status) throws Refusal {
        if (status == null) {
            throw new Refusal(400, "status: in_service, terminating or terminated is wanted");
        }
        Instance held = present(name);
        return held.status() == status && !held.expired() ? null : grant(held.with(status, false));
    }

    /**
     * Takes a heartbeat; where the lease had ended, the instance is in service again.
     *
     * @return the change, null for the usual heartbeat
     * @throws Refusal 404 for an unknown or terminated instance, 409 for one without a lease
     */
    Change heartbeat(String name) throws Refusal {
        Instance held = leased(name);
        return held.expired() ? grant(held.with(Status.IN_SERVICE, false)) : null;
    }

    /**
     * The instance whose lease a heartbeat renews.
     *
     * @throws Refusal 404 for an unknown or terminated instance, 409 for one without a lease
     */
    Instance leased(String name) throws Refusal {
        Instance held = present(name);
        if (held.ttlMs() == 0) {
            throw new Refusal(409, "'" + name + "' was registered without ttl_ms");
        }
        return held;
    }

    /** Lets all that were taken out with their stage of admission wait anew. */
    List<Change> resumeAdmission() {
        return Admission.resumed(catalog.live()).stream()
                .map(next -> ramp(catalog.get(next.name()), next.ramp())).filter(Objects::nonNull).toList();
    }

    /** Moves an instance's admission on; null where it has changed otherwise since. */
    Change ramp(Instance before, int step) {
        return ramp(before.name(), before.ramp(), step);
    }

    /** Moves the admission of an instance at step {@code from} on; null where it is not there any more. */
    Change ramp(String name, int from, int step) {
        Instance held = held(name);
        return held == null || held.gone() || held.ramp() != from ? null : grant(held.ramped(step));
    }

    /** The lease of an instance ended: it goes terminating, or terminated where it is that already. */
    Change expire(String name) {
        Instance held = held(name);
        if (held == null || held.gone()) {
            return null;
        }
        return grant(held.with(held.status() == Status.IN_SERVICE ? Status.TERMINATING : Status.TERMINATED,
                true));
    }

    /** A change granted here is on disk: it now stands in the catalog. */
    void published(Change change) {
        if (change.instance() == null) {
            return;
        }
        String name = change.instance().name();
        if (pending.remove(name, change)) {
            claims.remove(change.instance().address(), name);
        }
    }

    /** What was granted and is not on disk will never be. */
    void failed() {
        pending.clear();
        claims.clear();
        granted = catalog.index();
        rollout = catalog.rollout();
    }

    private Instance present(String name) throws Refusal {
        Instance held = held(name);
        if (held == null || held.gone()) {
            throw new Refusal(404, "no instance '" + name + "'");
        }
        return held;
    }

    private Instance held(String name) {
        Change granted = pending.get(name);
        return granted != null ? granted.instance() : catalog.get(name);
    }

    private Change grant(Instance next) {
        Change change = new Change(++granted, next);
        pending.put(next.name(), change);
        if (!next.gone()) {
            claims.put(next.address(), next.name());
        }
        return change;
    }
}
