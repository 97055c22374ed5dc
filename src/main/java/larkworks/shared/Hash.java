package larkworks.shared;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/** The hashes that all processes must agree on: MurmurHash3, 64 of its 128 bits. */
final class Hash {

    private Hash() { }

    static long of(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
    }

    /** Of two numbers, in this order. */
    static long of(long a, long b) {
        long mixed = a * 0x9E3779B97F4A7C15L + b;
        mixed = (mixed ^ mixed >>> 30) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 31;
    }
}
