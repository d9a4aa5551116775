package org.copperspindle.origin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;

import org.copperspindle.disk.LogFile;

/**
 * A disk that can be full and that counts its syncs.
 */
final class FaultyFile {

    /** Whether the disk is full: half of what is appended is still written. */
    boolean full;

    /** Number of syncs. */
    int syncs;

    LogFile open(Path path) throws IOException {
        LogFile file = LogFile.open(path);
        return new LogFile() {
            @Override
            public void append(ByteBuffer bytes) throws IOException {
                if (full) {
                    file.append(bytes.slice(0, bytes.limit() / 2));
                    throw new IOException("no space left on device");
                }
                file.append(bytes);
            }

            @Override
            public void force() throws IOException {
                syncs++;
                file.force();
            }

            @Override
            public void truncate(long size) throws IOException {
                file.truncate(size);
            }

            @Override
            public void close() throws IOException {
                file.close();
            }
        };
    }
}
