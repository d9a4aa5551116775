package org.copperspindle.audit;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Appends records to the files of an audit trail. Used by a single thread.
 */
final class AuditWriter implements AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(AuditWriter.class);

    private final Path folder;
    private final AuditFolder files;
    private final long maxFileBytes;
    private AuditHead head = AuditHead.EMPTY;
    private FileChannel channel;

    /**
     * Opens the trail and truncates a record that a crash left partially written.
     *
     * @param folder       directory of the files, created if missing
     * @param maxFileBytes length in bytes after which a new file is started
     * @throws IOException if the directory can't be used
     */
    AuditWriter(Path folder, long maxFileBytes) throws IOException {
        this.folder = folder;
        this.files = new AuditFolder(folder);
        this.maxFileBytes = maxFileBytes;
        Files.createDirectories(folder);
        List<Path> existing = files.files();
        for (int i = existing.size() - 1; i >= 0 && channel == null; i--) {
            recover(existing.get(i));
        }
    }

    AuditHead head() {
        return head;
    }

    /**
     * Appends a record unless it is already stored.
     *
     * @param record the record
     * @throws IOException if it can't be written; the file then ends before the record
     */
    void append(AuditRecord record) throws IOException {
        if (record.number() <= head.number()) {
            return;
        }
        if (!head.precedes(record)) {
            // The records in between were replaced by a snapshot, or this disk contains a different history. In both
            // cases the new record must not appear to follow the old one, so it starts a new file.
            LOGGER.warn("event=audit-gap last={} next={}", head.number(), record.number());
            close();
        }
        if (channel == null || channel.position() >= maxFileBytes) {
            startFile(record.number());
        }
        write(AuditFrame.encode(record));
        head = AuditHead.after(record);
    }

    void force() throws IOException {
        if (channel != null) {
            channel.force(false);
        }
    }

    @Override
    public void close() throws IOException {
        if (channel != null) {
            channel.force(true);
            channel.close();
            channel = null;
        }
    }

    private void recover(Path last) throws IOException {
        AuditVerifier verifier = new AuditVerifier();
        AuditHead[] lastReadable = {AuditHead.EMPTY};
        long length = AuditFolder.scan(last, verifier, r -> lastReadable[0] = AuditHead.after(r));
        head = lastReadable[0];
        if (length < Files.size(last)) {
            LOGGER.warn(
                    "event=audit-file-cut file={} length={} {}",
                    last.getFileName(),
                    length,
                    verifier.findings().get(verifier.findings().size() - 1).text());
            // Preserves the evidence: the original file is kept next to the readable part.
            Files.copy(last, last.resolveSibling(last.getFileName() + ".damaged"), StandardCopyOption.REPLACE_EXISTING);
            AuditFolder.cut(last, length);
        }
        if (length == 0) {
            Files.delete(last);
            return;
        }
        channel = FileChannel.open(last, StandardOpenOption.WRITE);
        channel.position(length);
    }

    private void startFile(long number) throws IOException {
        close();
        Path file = files.file(number);
        // An earlier file of this name had a damaged first record; its copy remains next to the new file as evidence.
        channel = FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        // Without a sync of the directory, a crash can lose the file's directory entry and with it all synced contents.
        try (FileChannel directory = FileChannel.open(folder)) {
            directory.force(true);
        }
    }

    private void write(ByteBuffer frame) throws IOException {
        long start = channel.position();
        try {
            while (frame.hasRemaining()) {
                channel.write(frame);
            }
        } catch (IOException e) {
            channel.truncate(start);
            throw e;
        }
    }
}
