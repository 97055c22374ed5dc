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
import java.util.concurrent.atomic.AtomicLong;

/**
 * A fault relay for UDP between members, for tests: member i is reached at {@link #front(int)}, and what
 * member j sends there comes to member i from j's front, so the sender check still holds. Rules change
 * while it runs: loss, delay with jitter (which reorders), duplicates, groups that can't hear each other.
 */
public final class UdpRelay implements AutoCloseable {

    private final List<DatagramSocket> fronts = new ArrayList<>();
    private final List<InetSocketAddress> backs;
    private final Map<InetSocketAddress, Integer> senders = new HashMap<>();
    private final ScheduledExecutorService later = Executors.newSingleThreadScheduledExecutor();
    private final Random random = new Random(7);
    private volatile double loss;
    private volatile double duplicates;
    private volatile int delayMs;
    private volatile int jitterMs;
    private volatile int[] group;
    /** What the first of the pair sends, the second does not get; null for none. */
    private volatile int[] deaf;
    private final DatagramSocket everyone;
    /** Datagrams and bytes that members sent, before any fault. */
    public final AtomicLong datagrams = new AtomicLong();
    public final AtomicLong bytes = new AtomicLong();

    /** @param backs where the members really listen, by id */
    public UdpRelay(List<InetSocketAddress> backs) throws SocketException {
        this.backs = List.copyOf(backs);
        group = new int[backs.size()];
        everyone = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        for (int i = 0; i < backs.size(); i++) {
            fronts.add(new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
            senders.put(backs.get(i), i);
        }
        for (int i = 0; i < backs.size(); i++) {
            carrying(fronts.get(i), i, i);
        }
        carrying(everyone, 0, backs.size() - 1);
    }

    private void carrying(DatagramSocket socket, int first, int last) {
        Thread t = new Thread(() -> carry(socket, first, last), "relay-" + first);
        t.setDaemon(true);
        t.start();
    }

    /** What {@code peers_all} names: a datagram to it goes to every member, its sender included. */
    public InetSocketAddress everyone() {
        return (InetSocketAddress) everyone.getLocalSocketAddress();
    }

    public InetSocketAddress front(int member) {
        return (InetSocketAddress) fronts.get(member).getLocalSocketAddress();
    }

    /** Where a member really listens. */
    public InetSocketAddress back(int member) {
        return backs.get(member);
    }

    public void loss(double share) {
        loss = share;
    }

    public void duplicates(double share) {
        duplicates = share;
    }

    public void delay(int ms, int jitter) {
        delayMs = ms;
        jitterMs = jitter;
    }

    /** Members of different groups hear nothing of each other; all in group 0 heals. */
    public void partition(int... groups) {
        group = groups.clone();
    }

    /** From now on {@code to} does not hear {@code from}, which still hears it. */
    public void deafen(int from, int to) {
        deaf = new int[] {from, to};
    }

    public void heal() {
        deaf = null;
        group = new int[backs.size()];
    }

    private void carry(DatagramSocket socket, int first, int last) {
        byte[] buffer = new byte[2048];
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
            byte[] copy = java.util.Arrays.copyOf(p.getData(), p.getLength());
            for (int to = first; from != null && to <= last; to++) {
                pass(from, to, copy);
            }
        }
    }

    private void pass(int from, int to, byte[] datagram) {
        int[] cut = deaf;
        if (group[from] != group[to] || cut != null && cut[0] == from && cut[1] == to) {
            return;
        }
        synchronized (random) {
            int copies = random.nextDouble() < loss ? 0 : random.nextDouble() < duplicates ? 2 : 1;
            for (int c = 0; c < copies; c++) {
                int wait = delayMs + (jitterMs > 0 ? random.nextInt(jitterMs) : 0);
                later.schedule(() -> send(fronts.get(from), datagram, backs.get(to)), wait,
                        TimeUnit.MILLISECONDS);
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
        everyone.close();
        later.shutdownNow();
    }
}
