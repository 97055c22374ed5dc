package larkworks.scale;

import java.util.List;

/**
 * What a list service with so many watches came to. All figures are of real time on real sockets; the hollow
 * proxies share one event loop, whose work is part of each time.
 *
 * @param load the machine's load average over the last minute, at the end
 * @param changes null where there were none
 * @param burst null where there was none
 * @param reports null where there were none
 */
public record ListResult(String time, int watchers, int backends, double load, Steady steady, Changes changes,
        Changes burst, Reports reports, List<ListFault> faults, Service service) {

    /**
     * With no change of the list.
     *
     * @param callsPerS watches opened, a hollow proxy
     * @param bytesPerS sent and received above TCP, a hollow proxy
     * @param serviceCores of the service's processor time
     * @param clientCores of the hollow proxies' loop's, all together
     */
    public record Steady(double seconds, double callsPerS, double bytesPerS, double serviceCores,
            double clientCores) { }

    /**
     * Changes of the list.
     *
     * @param lagMs from the write's sending until a watch is answered with it
     * @param toAllMs until the last one is
     * @param bytesEach sent and received above TCP for each change, a hollow proxy
     * @param serviceMsEach processor time of the service for each change, the backends' heartbeats included
     * @param inForceS from the first write's sending until all watches had heard all
     */
    public record Changes(int count, Distribution lagMs, Distribution toAllMs, double bytesEach,
            double serviceMsEach, double inForceS) { }

    /**
     * Reports for rollouts.
     *
     * @param answerMs from a report's connecting until its answer
     * @param reportsPerS that were answered, of all hollow proxies
     * @param wantedPerS that fell due
     * @param failed that had no answer
     * @param bytesEach sent and received above TCP
     * @param rolloutCores the service's processor time while a rollout was under way
     * @param inForceS from the rollout's publishing until all were told its version; negative
     *     where that did not come within the limit
     * @param bytesEachAfter as {@code bytesEach}, once the rollout is in force
     */
    public record Reports(Distribution answerMs, double reportsPerS, double wantedPerS, long failed,
            double bytesEach, double serviceCores, double rolloutCores, double inForceS,
            double bytesEachAfter) { }

    /**
     * A fault.
     *
     * @param affected hollow proxies or backends that it hit
     * @param inForceS from the sending of a change at the fault's beginning (tried again until it is taken)
     *     until all watches had heard of it; negative where that did not come within the limit
     * @param afterS the same from the fault's end
     * @param failures calls of hollow proxies that came to nothing
     * @param wholeLists answers that were the whole list
     * @param bytesEach received by a hollow proxy above TCP, from the fault's beginning until all had heard
     * @param peakRssMb the service's, since its start
     */
    public record ListFault(String name, String kind, double forS, long affected, double inForceS,
            double afterS, long failures, long wholeLists, double bytesEach, double peakRssMb) { }

    /**
     * The service's process at the end.
     *
     * @param heapMb after a collection; negative where the system's tool for it is missing
     * @param rssMb resident
     * @param peakRssMb the most of that since its last start
     */
    public record Service(double heapMb, double rssMb, double peakRssMb) { }
}
