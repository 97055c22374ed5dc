package larkworks.scale;

/**
 * What a member sends and hears in a second, as a mean over the members.
 *
 * @param sharedDatagramsOut of the datagrams sent, shared state's
 * @param bytesOut payload of the datagrams sent
 * @param membershipBytesOut of these, membership's
 * @param sharedBytesOut of these, shared state's
 * @param wireBytes sent and heard together, with IP's and UDP's headers
 * @param mostWireBytes the same of the member that has the most
 */
public record Traffic(double datagramsOut, double datagramsIn, double sharedDatagramsOut, double bytesOut,
        double bytesIn, double membershipBytesOut, double sharedBytesOut, double wireBytes,
        double mostWireBytes) {

    /** IPv4's and UDP's. */
    static final int HEADERS = 28;

    /** Counts of one member. */
    static final class Counter {
        long datagramsOut;
        long datagramsIn;
        long bytesOut;
        long bytesIn;
        long sharedDatagramsOut;
        long sharedBytesOut;

        private long wireBytes() {
            return bytesOut + bytesIn + HEADERS * (datagramsOut + datagramsIn);
        }

        private void add(Counter other) {
            datagramsOut += other.datagramsOut;
            datagramsIn += other.datagramsIn;
            bytesOut += other.bytesOut;
            bytesIn += other.bytesIn;
            sharedDatagramsOut += other.sharedDatagramsOut;
            sharedBytesOut += other.sharedBytesOut;
        }
    }

    /** The mean of counts taken over so many seconds. */
    static Traffic of(Iterable<Counter> members, double seconds) {
        Counter sum = new Counter();
        int count = 0;
        long most = 0;
        for (Counter member : members) {
            sum.add(member);
            most = Math.max(most, member.wireBytes());
            count++;
        }
        double all = Math.max(1, count) * Math.max(1e-9, seconds);
        return new Traffic(sum.datagramsOut / all, sum.datagramsIn / all,
                sum.sharedDatagramsOut / all, sum.bytesOut / all, sum.bytesIn / all,
                (sum.bytesOut - sum.sharedBytesOut) / all, sum.sharedBytesOut / all,
                sum.wireBytes() / all, most / Math.max(1e-9, seconds));
    }
}
