package larkworks.scale;

/**
 * The request path with a proxy and without, in real time; calls of the two ways take turns.
 *
 * @param load the machine's load average over the last minute
 * @param directMs from a call's sending until its answer's last byte
 * @param proxiedMs the same by the proxy
 * @param addedMedianMs the difference of the medians
 * @param addedP99Ms the difference of the 99th percentiles
 * @param failed calls by the proxy not answered with 200
 * @param idleCores of the proxy's processor time without calls, its watch open
 * @param cores the same under the calls
 * @param cpuUsPerCall from these
 * @param heapMb the proxy's after a collection; negative where the system's tool for it is missing
 */
public record PathResult(String time, int callsPerS, double load, Distribution directMs,
        Distribution proxiedMs, double addedMedianMs, double addedP99Ms, long failed, double idleCores,
        double cores, double cpuUsPerCall, double heapMb, double rssMb) { }
