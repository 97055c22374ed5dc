/**
 * Randomized fault tests: real proxy processes between clients, servers and a discovery that misbehave by a
 * schedule drawn from a seed. What happened is recorded on one clock and judged afterwards.
 */
package larkworks.soak;
