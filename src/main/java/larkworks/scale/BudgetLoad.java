package larkworks.scale;

import java.util.ArrayDeque;
import java.util.Deque;
import larkworks.shared.SharedSettings;

/** Requests of a class with a budget, more than it allows, spread over the members; and what is taken. */
final class BudgetLoad {

    private final FleetSimulation fleet;
    private final FleetScenario.Load load;
    private final SharedSettings.Budget budget;
    private final int demanding;
    private final long beganUs;
    private final Deque<Long> window = new ArrayDeque<>();
    private long most;
    private long wanted;
    private long spent;
    private boolean running = true;

    BudgetLoad(FleetSimulation fleet, FleetScenario.Load load, SharedSettings.Budget budget) {
        this.fleet = fleet;
        this.load = load;
        this.budget = budget;
        demanding = load.demanding() == 0 ? fleet.size() : Math.min(load.demanding(), fleet.size());
        beganUs = fleet.time().nowUs();
        next();
    }

    private void next() {
        fleet.time().after((long) (1e6 / load.demandPerS()), () -> {
            if (running) {
                request();
                next();
            }
        });
    }

    private void request() {
        int member = fleet.random().nextInt(demanding);
        if (!fleet.up(member)) {
            return;
        }
        wanted++;
        if (fleet.member(member).take()) {
            spent++;
            long now = fleet.time().nowUs();
            window.addLast(now);
            while (window.getFirst() <= now - budget.windowMs() * 1_000) {
                window.removeFirst();
            }
            most = Math.max(most, window.size());
        }
    }

    /** Takes no more. */
    void stop() {
        running = false;
    }

    FleetResult.Budget result() {
        double windows = (fleet.time().nowUs() - beganUs) / 1e3 / budget.windowMs();
        return new FleetResult.Budget(budget.requests(), budget.windowMs(),
                spent / (budget.requests() * windows), most, wanted, spent);
    }
}
