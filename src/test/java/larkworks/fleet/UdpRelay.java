package larkworks.fleet;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A fault relay for UDP between members, for tests: member i is reached at {@link #front(int)}, and what
 * member j sends there comes to member i from j's front, so the sender check still holds. Rules change
 * while it runs: loss, delay with jitter (which reorders), duplicates, groups that can't hear each other.
 */
final class UdpRelay implements AutoCloseable {

    private final List<DatagramSocket> fronts = new ArrayList<>();
    private final List<InetSocketAddress> backs;
    private final Map<InetSocketAddress, Integer> senders = new HashMap<>();
    private final ScheduledExecutorService later = Executors.newSingleThreadScheduledExecutor();
    private final List<Thread> threads = new ArrayList<>();
    private final Random random = new Random(7);
    private volatile double loss;
    private volatile double duplicates;
    private volatile int delayMs;
    private volatile int jitterMs;
    private volatile int[] group;
    /** Datagrams and bytes that members sent, before any fault. */
    final java.util.concurrent.atomic.AtomicLong datagrams = new java.util.concurrent.atomic.AtomicLong();
    final java.util.concurrent.atomic.AtomicLong bytes = new java.util.concurrent.atomic.AtomicLong();

    /** @param backs where the members really listen, by id */
    UdpRelay(List<InetSocketAddress> backs) throws SocketException {
        this.backs = List.copyOf(backs);
        group = new int[backs.size()];
        for (int i = 0; i < backs.size(); i++) {
            fronts.add(new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
            senders.put(backs.get(i), i);
        }
        for (int i = 0; i < backs.size(); i++) {
            int to = i;
            Thread t = new Thread(() -> carry(to), "relay-" + i);
            t.setDaemon(true);
            t.start();
            threads.add(t);
        }
    }

    InetSocketAddress front(int member) {
        return (InetSocketAddress) fronts.get(member).getLocalSocketAddress();
    }

    void loss(double share) {
        loss = share;
    }

    void duplicates(double share) {
        duplicates = share;
    }

    void delay(int ms, int jitter) {
        delayMs = ms;
        jitterMs = jitter;
    }

    /** Members of different groups hear nothing of each other; all in group 0 heals. */
    void partition(int... groups) {
        group = groups.clone();
    }

    void heal() {
        group = new int[backs.size()];
    }

    private void carry(int to) {
        byte[] buffer = new byte[2048];
        DatagramSocket socket = fronts.get(to);
        while (!socket.isClosed()) {
            DatagramPacket p = new DatagramPacket(buffer, buffer.length);
            try {
                socket.receive(p);
            } catch (IOException e) {
                return;  // closed
            }
            datagrams.incrementAndGet();
            bytes.addAndGet(p.getLength());
            Integer from = senders.get((InetSocketAddress) p.getSocketAddress());
            if (from == null || group[from] != group[to]) {
                continue;
            }
            byte[] bytes = java.util.Arrays.copyOf(p.getData(), p.getLength());
            int copies;
            synchronized (random) {
                copies = random.nextDouble() < loss ? 0 : random.nextDouble() < duplicates ? 2 : 1;
            }
            for (int c = 0; c < copies; c++) {
                int wait;
                synchronized (random) {
                    wait = delayMs + (jitterMs > 0 ? random.nextInt(jitterMs) : 0);
                }
                DatagramSocket out = fronts.get(from);
                InetSocketAddress back = backs.get(to);
                later.schedule(() -> send(out, bytes, back), wait, TimeUnit.MILLISECONDS);
            }
        }
    }

    private static void send(DatagramSocket out, byte[] bytes, InetSocketAddress to) {
        try {
            out.send(new DatagramPacket(bytes, bytes.length, to));
        } catch (IOException e) {
            // The member's port is gone (killed); UDP would lose it the same way.
        }
    }

    @Override
    public void close() {
        fronts.forEach(DatagramSocket::close);
        later.shutdownNow();
    }
}
