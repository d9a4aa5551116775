package org.copperspindle.engineload;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Lists of numbers as bytes: seven bits a byte, lowest first, the highest bit set on all bytes of a number but the last.
 * Most numbers here take one to three bytes.
 */
final class PackedNumbers {

    private static final int BITS = 7;
    private static final int MASK = 0x7f;
    private static final int MORE = 0x80;

    private PackedNumbers() {}

    static byte[] pack(List<Long> numbers) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (long number : numbers) {
            long rest = number;
            while ((rest & ~MASK) != 0) {
                out.write((int) (rest & MASK | MORE));
                rest >>>= BITS;
            }
            out.write((int) rest);
        }
        return out.toByteArray();
    }

    /** Reads a list. Bytes that are not one give a list of another length, which the receiver drops. */
    static List<Long> unpack(byte[] bytes) {
        List<Long> numbers = new ArrayList<>();
        long number = 0;
        int shift = 0;
        for (byte next : bytes) {
            number |= (long) (next & MASK) << shift;
            shift += BITS;
            if ((next & MORE) != 0 && shift < Long.SIZE) {
                continue;
            }
            numbers.add(number);
            number = 0;
            shift = 0;
        }
        return List.copyOf(numbers);
    }
}
