package org.copperspindle.disk;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Checksums of what is stored in files.
 */
public final class Checksum {

    private Checksum() {}

    /**
     * Computes the CRC32C of some bytes.
     *
     * @param bytes the bytes
     * @return the checksum
     */
    public static int crc32c(byte[] bytes) {
        return crc32c(ByteBuffer.wrap(bytes), 0, bytes.length);
    }

    /**
     * Computes the CRC32C of a part of a buffer, whose position is not changed.
     *
     * @param bytes  the buffer
     * @param offset first byte of the part
     * @param length number of its bytes
     * @return the checksum
     */
    public static int crc32c(ByteBuffer bytes, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes.slice(offset, length));
        return (int) crc.getValue();
    }
}
