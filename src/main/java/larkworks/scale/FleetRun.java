package larkworks.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Takes a simulated fleet of one size through its scenario. */
final class FleetRun {

    private static final long SECOND_US = 1_000_000;

    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
    private final FleetScenario scenario;
    private final long seed;
    private final Consumer<String> progress;

    FleetRun(FleetScenario scenario, long seed, Consumer<String> progress) {
        this.scenario = scenario;
        this.seed = seed;
        this.progress = progress;
    }

    FleetResult run(int size) {
        long heapBefore = heap();
        FleetSimulation fleet = new FleetSimulation(scenario, size, seed);
        fleet.time().run(seconds(scenario.settleS()));
        double heapEach = Math.max(0, heap() - heapBefore) / (double) size;

        FleetScenario.Load load = scenario.load();
        VerdictLoad verdicts = scenario.shared() == null || load.verdictsPerS() == 0 ? null
                : new VerdictLoad(fleet, load);
        BudgetLoad budget = scenario.shared() == null || load.demandPerS() == 0
                || scenario.shared().classes().isEmpty() ? null
                : new BudgetLoad(fleet, load, scenario.shared().classes().get(FleetScenario.CLASS));
        fleet.carry(verdicts);
        fleet.count();
        long cpuNs = threads.getCurrentThreadCpuTime();
        fleet.time().run(seconds(scenario.steadyS()));
        double cpuEachUs = (threads.getCurrentThreadCpuTime() - cpuNs) / 1e3 / size / scenario.steadyS();
        Traffic steady = fleet.traffic(scenario.steadyS());
        long falseDeaths = fleet.falseDeaths();
        long falseSuspicions = fleet.falseSuspicions();
        FleetResult.Verdicts heard = verdicts == null ? null : verdicts.result();
        FleetResult.Budget spent = budget == null ? null : budget.result();
        if (verdicts != null) {
            verdicts.stop();
        }
        if (budget != null) {
            budget.stop();
        }
        progress.accept(size + " members: steady, " + Math.round(steady.wireBytes())
                + " bytes a member a second on the wire");
        List<FleetResult.FaultResult> faults = new ArrayList<>();
        for (Fault fault : scenario.faults()) {
            faults.add(run(fleet, fault));
            progress.accept(size + " members: " + fault.name() + ", converged after "
                    + faults.get(faults.size() - 1).convergedS() + " s");
        }
        return new FleetResult("simulated", size, scenario.steadyS(), steady, falseDeaths,
                falseSuspicions, heard, spent, faults, new FleetResult.Machine(cpuEachUs, heapEach));
    }

    private FleetResult.FaultResult run(FleetSimulation fleet, Fault fault) {
        Timeline time = fleet.time();
        fleet.calm();
        fleet.count();
        long begunUs = time.nowUs();
        long affected = 0;
        for (int i = 0; i < fault.times(); i++) {
            affected += fleet.begin(fault);
            if (i + 1 < fault.times()) {
                time.run(seconds(fault.everyS()));
            }
        }
        time.run(fault.kind() == Fault.Kind.KILL ? 0 : seconds(fault.forS()));
        // A restarted process joins within a probe period.
        long endedUs = time.nowUs();
        boolean converged = time.runUntil(seconds(scenario.limitS()), fleet::agreed);
        double spanS = (time.nowUs() - begunUs) / 1e6;
        return new FleetResult.FaultResult(fault.name(), fault.kind().word(),
                fault.target().name().toLowerCase(java.util.Locale.ROOT), affected, converged,
                (time.nowUs() - endedUs) / 1e6, fleet.detections(), fleet.deaths(), fleet.falseDeaths(),
                fleet.traffic(spanS), fleet.mostBytesPerS());
    }

    private static long seconds(double seconds) {
        return (long) (seconds * SECOND_US);
    }

    private long heap() {
        System.gc();
        return memory.getHeapMemoryUsage().getUsed();
    }
}
