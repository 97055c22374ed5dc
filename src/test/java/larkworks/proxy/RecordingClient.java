package larkworks.proxy;

import java.util.ArrayList;
import java.util.List;

/** A client that stays connected; records the driver's answers, and with each how to report its delivery. */
final class RecordingClient implements Driver.Client {

    private final List<String> answers = new ArrayList<>();
    private final List<Driver.Delivery> deliveries = new ArrayList<>();

    /** Returns the answers so far: "served", "refused" or "failed". */
    List<String> answers() {
        return answers;
    }

    /** Returns for each answer the delivery to notify once that answer is written. */
    List<Driver.Delivery> deliveries() {
        return deliveries;
    }

    private void record(String answer, Driver.Delivery delivery) {
        answers.add(answer);
        deliveries.add(delivery);
    }

    @Override
    public boolean isConnected() {
        return true;
    }

    @Override
    public void sendAnswer(byte[] body, String type, Driver.Delivery delivery) {
        record("served", delivery);
    }

    @Override
    public BackendPool.AnswerSink startStream(BackendPool.Exchange from, String type, long length,
            Driver.Delivery delivery) {
        throw new AssertionError("an answer was streamed, but these tests send only small ones");
    }

    @Override
    public void sendRefusal(long retryAfterUs, Driver.Delivery delivery) {
        record("refused", delivery);
    }

    @Override
    public void sendFailure(Driver.Delivery delivery) {
        record("failed", delivery);
    }
}
