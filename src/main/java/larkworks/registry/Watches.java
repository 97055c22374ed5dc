package larkworks.registry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** The list as callers read it, and the calls held until it changes. Everything runs on the event loop. */
final class Watches {

    /** A call held until the list changes or its time has passed. */
    final class Watch {
        private final long from;
        private final Consumer<ByteBuf> answer;
        private ScheduledFuture<?> end;

        private Watch(long from, Consumer<ByteBuf> answer) {
            this.from = from;
            this.answer = answer;
        }

        /** The caller is gone. */
        void cancel() {
            if (held.remove(this)) {
                end.cancel(false);
            }
        }

        private void finish(ByteBuf body) {
            end.cancel(false);
            answer.accept(body);
        }
    }

    private final EventLoop loop;
    private final Supplier<Catalog> catalog;
    private final Admission admission;
    private Set<Watch> held = new LinkedHashSet<>();

    /** @param catalog the one that stands now: a replica may take up another as a whole */
    Watches(EventLoop loop, Supplier<Catalog> catalog, Admission admission) {
        this.loop = loop;
        this.catalog = catalog;
        this.admission = admission;
    }

    /** The version that is served. */
    long index() {
        return catalog.get().index();
    }

    /** Calls held. */
    int size() {
        return held.size();
    }

    /** The whole list. */
    ByteBuf whole() {
        return Unpooled.wrappedBuffer(Words.listing(index(), true, catalog.get().live().stream()
                .filter(Admission::listed).map(admission::shown).toList()));
    }

    /** What changed since that version, or the whole list where that is no longer known. */
    ByteBuf since(long from) {
        return catalog.get().knows(from)
                ? Unpooled.wrappedBuffer(Words.listing(index(), false,
                        catalog.get().since(from).stream().map(admission::shown).toList()))
                : whole();
    }

    /**
     * Holds a call until there is something newer than {@code from}, for {@code waitMs} at most.
     *
     * @param answer gets the body; null where the list here has not even come to {@code from}
     */
    Watch watch(long from, long waitMs, Consumer<ByteBuf> answer) {
        Watch watch = new Watch(from, answer);
        held.add(watch);
        watch.end = loop.schedule(() -> {
            held.remove(watch);
            watch.answer.accept(sinceOrNull(from));
        }, waitMs, TimeUnit.MILLISECONDS);
        return watch;
    }

    private ByteBuf sinceOrNull(long from) {
        return from > index() ? null : since(from);
    }

    /** Answers all calls that wait from before the version held. */
    void publish() {
        List<Watch> due = new ArrayList<>();
        Set<Watch> ahead = new LinkedHashSet<>();
        for (Watch watch : held) {
            if (watch.from < index()) {
                due.add(watch);
            } else {
                ahead.add(watch);
            }
        }
        held = ahead;
        Map<Long, ByteBuf> bodies = new HashMap<>();
        for (Watch watch : due) {
            ByteBuf body = bodies.computeIfAbsent(watch.from, this::since);
            watch.finish(body.retainedDuplicate());
        }
        bodies.values().forEach(ByteBuf::release);
    }

    /** Answers all calls with what is known, as if their time had passed. */
    void stop() {
        Set<Watch> all = held;
        held = new LinkedHashSet<>();
        all.forEach(watch -> watch.finish(sinceOrNull(watch.from)));
    }
}
