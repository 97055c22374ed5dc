package larkworks.registry;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.retry.RetryPolicy;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.util.TimeDuration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Passes calls on to the group: one thread takes all that wait, sends them as one message, and hands each its
 * part of the reply, so that a burst costs as many rounds as it lasts, not as it has calls.
 */
final class Forwarder implements Closeable {

    private static final Logger LOG = LoggerFactory.getLogger("registry");
    private static final int MOST_IN_BATCH = 1_024;
    private static final int MOST_BYTES = 1 << 20;
    private static final TimeDuration RETRY_PAUSE = TimeDuration.valueOf(30, TimeUnit.MILLISECONDS);

    /** Sends one message to the group and waits for its reply. */
    interface Sender {
        RaftClientReply send(RaftClient client, Message message) throws IOException;
    }

    private record Call(byte[] json, Answer<JsonNode> answer) { }

    private final Executor owners;
    private final RaftNode node;
    private final RaftClient client;
    private final Sender sender;
    private final long mostMs;
    private final BlockingQueue<Call> waiting = new LinkedBlockingQueue<>();
    private final Thread thread;
    private volatile long deadline;
    private volatile boolean closed;
    /** Taken from the queue, but too much for the batch before. */
    private Call left;

    /**
     * Begins.
     *
     * @param owners where answers are given
     * @param mostMs after so long a message that no attempt brought through is given up
     */
    Forwarder(String name, Executor owners, RaftNode node, Sender sender, long mostMs) {
        this.owners = owners;
        this.node = node;
        this.sender = sender;
        this.mostMs = mostMs;
        client = node.client(event -> closed || System.nanoTime() - deadline >= 0
                ? RetryPolicy.NO_RETRY_ACTION : () -> RETRY_PAUSE);
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Has a call sent; answered with its part of the reply, or a refusal with status 503. */
    void submit(Object call, Answer<JsonNode> answer) {
        waiting.add(new Call(Words.bytes(call), answer));
    }

    private void run() {
        while (!closed) {
            List<Call> batch;
            try {
                batch = take();
            } catch (InterruptedException e) {
                return;
            }
            try {
                deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMs);
                node.refresh(client);
                RaftClientReply reply = sender.send(client, Message.valueOf(joined(batch)));
                if (!reply.isSuccess()) {
                    throw new IOException(String.valueOf(reply.getException()));
                }
                JsonNode[] parts = Words.record(reply.getMessage().getContent().toByteArray(),
                        JsonNode[].class);
                owners.execute(() -> {
                    for (int i = 0; i < parts.length; i++) {
                        batch.get(i).answer().ended(parts[i], null);
                    }
                });
            } catch (IOException | RuntimeException e) {
                LOG.atWarn().addKeyValue("calls", batch.size()).addKeyValue("why", e.toString())
                        .log("calls were not confirmed");
                fail(batch, "no quorum of replicas confirmed it; it may still come into force");
            }
        }
    }

    private List<Call> take() throws InterruptedException {
        List<Call> batch = new ArrayList<>();
        Call next = left != null ? left : waiting.take();
        left = null;
        int bytes = 0;
        while (next != null) {
            bytes += next.json().length;
            if (!batch.isEmpty() && (bytes > MOST_BYTES || batch.size() >= MOST_IN_BATCH)) {
                left = next;
                return batch;
            }
            batch.add(next);
            next = waiting.poll();
        }
        return batch;
    }

    private static ByteString joined(List<Call> batch) {
        ByteArrayOutputStream list = new ByteArrayOutputStream();
        list.write('[');
        for (int i = 0; i < batch.size(); i++) {
            if (i > 0) {
                list.write(',');
            }
            list.writeBytes(batch.get(i).json());
        }
        list.write(']');
        return ByteString.copyFrom(list.toByteArray());
    }

    private void fail(List<Call> batch, String why) {
        owners.execute(() -> batch.forEach(call -> call.answer().ended(null, new Refusal(503, why))));
    }

    /** Gives up what is on its way; what waits is refused. */
    @Override
    public void close() throws IOException {
        closed = true;
        thread.interrupt();
        try {
            thread.join(mostMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        List<Call> rest = new ArrayList<>();
        waiting.drainTo(rest);
        fail(rest, "the replica ends");
        client.close();
    }
}
