package larkworks.proxy;

/** Notified exactly once for each answer. */
@FunctionalInterface
interface DeliveryListener {

    /**
     * Called when the answer's last byte has been written to the client's connection, or when it can no
     * longer be written.
     *
     * @param written whether all of the answer was written
     */
    void ended(boolean written);
}
