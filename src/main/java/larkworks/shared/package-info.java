/**
 * State that the proxies of a tier share over the peers' UDP: verdicts on servers, budgets, affinity.
 *
 * <p>{@link larkworks.shared.Verdicts}, {@link larkworks.shared.Budgets} and {@link
 * larkworks.shared.Affinity} take the caller's clock and datagrams and do no I/O; {@link
 * larkworks.shared.SharedState} joins them. Design and bounds: docs/design.md.
 */
package larkworks.shared;
