/**
 * Scale runs: many hollow members, proxies and backends in one process, driven by a scenario and a seed.
 *
 * <p>A hollow member runs the real {@link larkworks.fleet.Membership} and
 * {@link larkworks.shared.SharedState} on simulated time ({@link larkworks.scale.FleetSimulation}); hollow
 * discovery clients and backends speak to a real list service, a process of its own, over loopback in real
 * time ({@link larkworks.scale.ListRun}).
 * Results and what they say of the fleet's size: docs/CAPACITY.md.
 */
package larkworks.scale;
