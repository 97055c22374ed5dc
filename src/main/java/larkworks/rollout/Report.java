package larkworks.rollout;

import java.util.List;

/**
 * What a proxy says of the version it runs.
 *
 * @param version that it runs; 0 for its own file alone
 * @param requests ended since it took the version up
 * @param failures of these, not served: failed or refused
 * @param refused the version that it can't take up, 0 for none
 * @param why it can't, "" for none
 * @param resting names of the servers that its module rests; none where left out
 */
public record Report(long version, long requests, long failures, long refused, String why,
        List<String> resting) {

    /** A list left out is an empty one. */
    public Report {
        resting = resting == null ? List.of() : List.copyOf(resting);
    }

    /**
     * Checks what a proxy sent.
     *
     * @throws IllegalArgumentException where the figures contradict each other
     */
    public void check() {
        if (version < 0 || requests < 0 || failures < 0 || failures > requests || refused < 0) {
            throw new IllegalArgumentException("a report's figures are 0 or more, failures no more than "
                    + "requests");
        }
    }
}
