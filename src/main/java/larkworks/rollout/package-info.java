/**
 * Staged rollout of a configuration to the proxies, with stop and rollback.
 *
 * <p>{@link larkworks.rollout.Rollouts} decides, with no I/O and no clock of its own; the list service
 * keeps what it decided ({@code larkworks.registry}), proxies ask it ({@code larkworks.proxy}). Design:
 * docs/design.md.
 */
package larkworks.rollout;
