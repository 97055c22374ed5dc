/**
 * The list service: PROTOCOL's "Discovery" with a write API, durable in a data directory.
 *
 * <p>{@link larkworks.registry.Catalog} and {@link larkworks.registry.Registrar} decide, with no I/O;
 * {@link larkworks.registry.Store} keeps what they decided; {@link larkworks.registry.RegistryServer} is the
 * rim. Design: docs/design.md.
 */
package larkworks.registry;
