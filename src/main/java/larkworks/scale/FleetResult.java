package larkworks.scale;

import java.util.List;

/**
 * What one size of the fleet came to. All times and counts are of simulated time; {@code machine} alone is of
 * real processor time and memory.
 *
 * @param members hollow members
 * @param steadyS how long the steady part was
 * @param steady traffic with no fault
 * @param steadyFalseDeaths members declared dead in it that were up
 * @param steadyFalseSuspicions views of others in it in which a member that was up became suspected
 * @param verdicts null where there was no such load
 * @param budget null where there was none
 * @param faults in the order of the scenario
 */
public record FleetResult(String time, int members, double steadyS, Traffic steady, long steadyFalseDeaths,
        long steadyFalseSuspicions, Verdicts verdicts, Budget budget, List<FaultResult> faults,
        Machine machine) {

    /**
     * Verdicts written by members at random.
     *
     * @param lagMs from the writing to each other member
     * @param toAllMs from the writing to the last of them
     * @param missing verdicts that some member had not heard at the end of their hold
     */
    public record Verdicts(long written, Distribution lagMs, Distribution toAllMs, long missing) { }

    /**
     * A fleet's budget under more demand than it allows.
     *
     * @param share spent, of what the budget allows over the time
     * @param mostInWindow the most that was spent in any window
     * @param wanted requests that came
     */
    public record Budget(long requests, long windowMs, double share, long mostInWindow, long wanted,
            long spent) { }

    /**
     * A fault and its end.
     *
     * @param affected members that it hit, over all its times
     * @param converged whether all members up came to hold the truth of all others within the limit
     * @param convergedS from the fault's end (for a kill, its beginning) until they did
     * @param detectedS from a member's going without a word to each other member that declares it dead
     * @param deaths of members that were up, declared by others from the fault's beginning on
     * @param falseDeaths of these, of members that no fault had touched
     * @param traffic from the fault's beginning until its convergence
     * @param mostBytesOutPerS payload that all members sent in the busiest second, a member
     */
    public record FaultResult(String name, String kind, String target, long affected, boolean converged,
            double convergedS, Distribution detectedS, long deaths, long falseDeaths, Traffic traffic,
            double mostBytesOutPerS) { }

    /**
     * Real figures of the machine.
     *
     * @param cpuUsPerMemberS processor time of the steady part, the simulator's own included
     * @param heapBytesPerMember after a collection, the simulator's own included
     */
    public record Machine(double cpuUsPerMemberS, double heapBytesPerMember) { }
}
