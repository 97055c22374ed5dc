package larkworks.proxy;

import java.util.ArrayList;
import java.util.List;

/** A client that stays connected; records the driver's answers, and with each how to report its delivery. */
class RecordingClient implements RequestClient {

    private final List<String> answers = new ArrayList<>();
    private final List<DeliveryListener> deliveries = new ArrayList<>();

    /** Returns the answers so far: "served", "refused" or "failed". */
    List<String> answers() {
        return answers;
    }

    /** Returns for each answer the delivery to notify once that answer is written. */
    List<DeliveryListener> deliveries() {
        return deliveries;
    }

    private void record(String answer, DeliveryListener delivery) {
        answers.add(answer);
        deliveries.add(delivery);
    }

    @Override
    public boolean isConnected() {
        return true;
    }

    @Override
    public void sendAnswer(byte[] body, String type, DeliveryListener delivery) {
        record("served", delivery);
    }

    @Override
    public BackendPool.AnswerSink startStream(BackendPool.Exchange from, String type, long length,
            DeliveryListener delivery) {
        throw new AssertionError("an answer was streamed, but these tests send only small ones");
    }

    @Override
    public void sendRefusal(long retryAfterUs, DeliveryListener delivery) {
        record("refused", delivery);
    }

    @Override
    public void sendFailure(DeliveryListener delivery) {
        record("failed", delivery);
    }
}
