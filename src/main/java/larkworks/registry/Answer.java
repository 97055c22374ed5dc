package larkworks.registry;

/**
 * Hears how a call ended, on the service's event loop.
 *
 * @param <T> what a call that succeeds is answered with
 */
@FunctionalInterface
interface Answer<T> {

    /**
     * The call has ended.
     *
     * @param value what it is answered with; no meaning where it failed
     * @param failure why it was not granted or not stored; null where it succeeded
     */
    void ended(T value, Exception failure);
}
