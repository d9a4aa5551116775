package org.copperspindle.disk;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * An open file that is appended to. An interface, so that tests can simulate disk failures.
 */
public interface LogFile extends Closeable {

    /**
     * Appends all bytes.
     *
     * @param bytes the bytes
     * @throws IOException if they can't be written; a part of them may have been
     */
    void append(ByteBuffer bytes) throws IOException;

    /**
     * Syncs everything appended so far.
     *
     * @throws IOException if it can't be synced
     */
    void force() throws IOException;

    /**
     * Truncates the file and syncs that.
     *
     * @param size new length in bytes
     * @throws IOException if it can't be truncated
     */
    void truncate(long size) throws IOException;

    /** Opens files. */
    @FunctionalInterface
    interface Opener {

        /**
         * Opens a file for appending, creating it if it doesn't exist.
         *
         * @param path the file
         * @return the open file
         * @throws IOException if it can't be opened
         */
        LogFile open(Path path) throws IOException;
    }

    /**
     * Opens a file through the JDK's channel.
     *
     * @param path the file
     * @return the open file, positioned at its end
     * @throws IOException if it can't be opened
     */
    static LogFile open(Path path) throws IOException {
        FileChannel channel =
                FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.READ);
        channel.position(channel.size());
        return new LogFile() {
            @Override
            public void append(ByteBuffer bytes) throws IOException {
                while (bytes.hasRemaining()) {
                    channel.write(bytes);
                }
            }

            @Override
            public void force() throws IOException {
                channel.force(false);
            }

            @Override
            public void truncate(long size) throws IOException {
                channel.truncate(size);
                channel.force(true);
            }

            @Override
            public void close() throws IOException {
                channel.close();
            }
        };
    }
}
