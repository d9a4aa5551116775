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
 * Appends records to the files of a trail. Owned by one thread.
 */
final class AuditWriter implements AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(AuditWriter.class);

    private final Path folder;
    private final AuditFolder files;
    private final long maxFileBytes;
    private AuditHead head = AuditHead.EMPTY;
    private FileChannel channel;

    /**
     * Opens the trail and cuts off a record that a crash left half written.
     *
     * @param folder       folder of the files, made if it is missing
     * @param maxFileBytes length after which a new file is begun
     * @throws IOException if the folder can't be used
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
     * Appends a record unless it is here already.
     *
     * @param record the record
     * @throws IOException if it can't be written; the file then ends before it
     */
    void append(AuditRecord record) throws IOException {
        if (record.number() <= head.number()) {
            return;
        }
        if (!head.precedes(record)) {
            // A snapshot stood in for the records between, or this disk holds another history. Either way the new
            // record must not look as if it followed the old one, so it starts a file of its own.
            LOGGER.warn("event=audit-gap last={} next={}", head.number(), record.number());
            close();
        }
        if (channel == null || channel.position() >= maxFileBytes) {
            begin(record.number());
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
        AuditHead[] readable = {AuditHead.EMPTY};
        long length = AuditFolder.scan(last, verifier, r -> readable[0] = AuditHead.after(r));
        head = readable[0];
        if (length < Files.size(last)) {
            LOGGER.warn(
                    "event=audit-file-cut file={} length={} {}",
                    last.getFileName(),
                    length,
                    verifier.findings().get(verifier.findings().size() - 1).text());
            // Evidence stays: the file as it was found is kept beside the readable part.
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

    private void begin(long number) throws IOException {
        close();
        Path file = files.file(number);
        // A file of this name is one whose first record was damaged; what is left of it stays as evidence beside it.
        channel = FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        // Without syncing the folder a crash can lose the file's name with all that was synced into it.
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
