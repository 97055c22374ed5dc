package larkworks.registry;

import java.util.List;
import java.util.function.Consumer;

/**
 * What the replicas agree on: the catalog, its epoch and the rules by which it changes. The same commands
 * with the same times and terms in the same order make the same of it, at any replica and whatever snapshots
 * it was restored from in between. No I/O, no clock, no chance; one thread.
 */
final class ListStateMachine {

    private static final Admission.Settings AT_ONCE = new Admission.Settings(0, List.of(), 0);
    private static final int FEW_TOMBSTONES = 10_000;

    /**
     * All of it, to be written down.
     *
     * @param epoch null where no leader has begun yet
     */
    record Image(String epoch, Admission.Settings admission, int maxTombstones, Catalog.Image catalog) { }

    private final Admission admission = new Admission(AT_ONCE);
    private Catalog catalog = new Catalog(FEW_TOMBSTONES);
    private Registrar registrar = new Registrar(catalog, admission);
    private String epoch;

    /**
     * Applies one command of the log.
     *
     * @param nowMs Unix time in milliseconds as the leader wrote it into the log entry
     * @param term of that entry
     * @param changed hears of each change, once it is applied
     */
    Outcome apply(Command command, long nowMs, long term, Consumer<Change> changed) {
        if (command instanceof Decision decision && decision.term() != term) {
            return Outcome.refused(catalog.index(), new Refusal(409, "decided by the leader of term "
                    + decision.term() + ", not of " + term));
        }
        if (command instanceof Decision.Lead lead) {
            lead(lead);
        } else if (epoch == null) {
            return Outcome.refused(catalog.index(), new Refusal(503, "no leader has begun yet"));
        }
        try {
            for (Change change : command.grant(registrar, nowMs)) {
                catalog.apply(change);
                registrar.published(change);
                changed.accept(change);
            }
            return Outcome.of(catalog.index());
        } catch (Refusal e) {
            return Outcome.refused(catalog.index(), e);
        }
    }

    private void lead(Decision.Lead lead) {
        if (epoch == null) {
            epoch = lead.epoch();
        }
        admission.use(lead.admission());
        catalog.limitTombstones(lead.maxTombstones());
    }

    /** Which data this is; null where no leader has begun yet. */
    String epoch() {
        return epoch;
    }

    /** The list; another one after {@link #restore}. */
    Catalog catalog() {
        return catalog;
    }

    Admission admission() {
        return admission;
    }

    /** See {@link Registrar#leased}. */
    Instance leased(String name) throws Refusal {
        return registrar.leased(name);
    }

    Image image() {
        return new Image(epoch, admission.settings(), catalog.maxTombstones(), catalog.image());
    }

    /** Takes up what was written down in place of all that is held. */
    void restore(Image image) {
        epoch = image.epoch();
        admission.use(image.admission());
        catalog = new Catalog(image.maxTombstones());
        catalog.restore(image.catalog());
        registrar = new Registrar(catalog, admission);
    }
}
