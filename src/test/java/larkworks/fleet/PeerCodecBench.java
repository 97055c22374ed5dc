package larkworks.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import larkworks.platform.Datagram;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * The CPU a membership datagram costs: encode and decode of a full one (26 updates, 253 bytes) and of a
 * usual ping (3 updates), and a ping taken whole by the state machine (decode, merge, ack encoded).
 * Run: see docs/ROADMAP.md.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class PeerCodecBench {

    private Message full;
    private Message usual;
    private byte[] fullBytes;
    private byte[] usualBytes;
    private Membership member;
    private long now;

    /** Builds the messages once. */
    @Setup
    public void setUp() {
        List<Update> updates = new ArrayList<>();
        for (int i = 0; i < PeerCodec.MOST_UPDATES; i++) {
            updates.add(new Update(i, MemberState.values()[i % 4], 1_733_000_000L + i, i + 1));
        }
        full = new Message(Message.Type.PING, 3, 77, 0, updates);
        usual = new Message(Message.Type.PING, 3, 78, 0, updates.subList(0, 3));
        fullBytes = PeerCodec.encode(full);
        usualBytes = PeerCodec.encode(usual);
        member = new Membership(0, 50, MembershipSettings.defaults(), new Random(5), 0, 1_733_000_000L,
                PeerCodecTest.events(new ArrayList<>()));
    }

    @Benchmark
    public byte[] encodeFull() {
        return PeerCodec.encode(full);
    }

    @Benchmark
    public Message decodeFull() throws Datagram.Malformed {
        return PeerCodec.decode(fullBytes, fullBytes.length);
    }

    @Benchmark
    public byte[] encodeUsual() {
        return PeerCodec.encode(usual);
    }

    @Benchmark
    public Message decodeUsual() throws Datagram.Malformed {
        return PeerCodec.decode(usualBytes, usualBytes.length);
    }

    /** A usual ping taken by a member of 50: what one datagram costs the event loop. */
    @Benchmark
    public List<Membership.Outgoing> receivePing() {
        member.receive(now++, 3, usualBytes, usualBytes.length);
        return member.drain();
    }
}
