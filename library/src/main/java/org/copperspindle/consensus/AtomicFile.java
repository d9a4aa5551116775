package org.copperspindle.consensus;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

import org.copperspindle.disk.Checksum;
import org.copperspindle.disk.FolderSync;

/**
 * A checksummed file that is replaced as a whole: written to a temporary file, synced, renamed, and the folder is
 * synced. A crash leaves either the old file or the new one.
 */
final class AtomicFile {

    static final String TEMP_SUFFIX = ".part";

    private static final int HEADER_BYTES = 2 * Integer.BYTES;

    private AtomicFile() {}

    static void write(Path path, byte[] content) throws IOException {
        Path temp = path.resolveSibling(path.getFileName() + TEMP_SUFFIX);
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + content.length);
        out.putInt(content.length).putInt(Checksum.crc32c(content)).put(content).flip();
        try (FileChannel channel = FileChannel.open(
                temp, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            while (out.hasRemaining()) {
                channel.write(out);
            }
            channel.force(true);
        }
        Files.move(temp, path, StandardCopyOption.ATOMIC_MOVE);
        FolderSync.sync(path.getParent());
    }

    static byte[] read(Path path) throws IOException {
        ByteBuffer in = ByteBuffer.wrap(Files.readAllBytes(path));
        if (in.remaining() < HEADER_BYTES || in.getInt() != in.capacity() - HEADER_BYTES) {
            throw new CorruptLogException(path, 0, "wrong length");
        }
        int expected = in.getInt();
        byte[] content = new byte[in.remaining()];
        in.get(content);
        if (Checksum.crc32c(content) != expected) {
            throw new CorruptLogException(path, HEADER_BYTES, "wrong checksum");
        }
        return content;
    }
}
