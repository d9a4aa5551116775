package org.copperspindle.audit;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.copperspindle.wire.MalformedFrameException;

/**
 * Reads the files of an audit trail. A file is named after the number of its first record. A gap between files is a
 * range of records that this member never received, because it was sent a snapshot instead.
 */
public final class AuditFolder {

    private static final String PREFIX = "audit-";
    private static final String SUFFIX = ".log";

    private final Path folder;

    /**
     * Creates a reader.
     *
     * @param folder directory of the files
     */
    public AuditFolder(Path folder) {
        this.folder = folder;
    }

    /**
     * Reads and verifies all files.
     *
     * @param consumer receives each readable record, in order
     * @return the verifier, after the last record
     * @throws IOException if a file can't be read
     */
    public AuditVerifier verify(Consumer<AuditRecord> consumer) throws IOException {
        AuditVerifier verifier = new AuditVerifier();
        for (Path file : files()) {
            scan(file, verifier, consumer);
        }
        return verifier;
    }

    /**
     * Reads one page.
     *
     * @param after number of the last record that the reader already has
     * @param limit maximum number of records to return
     * @return records with larger numbers, in order
     * @throws IOException if a file can't be read
     */
    public List<AuditRecord> page(long after, int limit) throws IOException {
        List<AuditRecord> page = new ArrayList<>();
        List<Path> files = files();
        for (int i = 0; i < files.size() && page.size() < limit; i++) {
            boolean skippable = i + 1 < files.size() && first(files.get(i + 1)) <= after + 1;
            if (!skippable) {
                scan(files.get(i), new AuditVerifier(), r -> {
                    if (r.number() > after && page.size() < limit) {
                        page.add(r);
                    }
                });
            }
        }
        return page;
    }

    List<Path> files() throws IOException {
        if (!Files.isDirectory(folder)) {
            return List.of();
        }
        try (Stream<Path> all = Files.list(folder)) {
            return all.filter(p -> p.getFileName().toString().matches(PREFIX + "[0-9]{18}" + SUFFIX))
                    .sorted()
                    .toList();
        }
    }

    Path file(long first) {
        return folder.resolve(PREFIX + String.format("%018d", first) + SUFFIX);
    }

    /**
     * Reads one file up to its end, or up to the first frame that can't be decoded.
     *
     * @param file     the file
     * @param verifier verifier to which every record is passed
     * @param consumer receives each readable record
     * @return length of the readable part in bytes
     * @throws IOException if the file can't be read
     */
    static long scan(Path file, AuditVerifier verifier, Consumer<AuditRecord> consumer) throws IOException {
        String name = file.getFileName().toString();
        long offset = 0;
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(Files.newInputStream(file), 1 << 16))) {
            for (Optional<AuditFrame> next = AuditFrame.read(in); next.isPresent(); next = AuditFrame.read(in)) {
                AuditRecord record = next.get().record();
                verifier.accept(record, name, offset);
                consumer.accept(record);
                offset += next.get().bytes();
            }
        } catch (EOFException e) {
            verifier.unreadable(name, offset, "the file ends within it");
        } catch (MalformedFrameException e) {
            // The start of the next frame is unknown, so the rest of this file is skipped.
            verifier.unreadable(name, offset, e.getMessage());
        }
        return offset;
    }

    static void cut(Path file, long length) throws IOException {
        try (FileChannel channel = FileChannel.open(file, java.nio.file.StandardOpenOption.WRITE)) {
            channel.truncate(length);
            channel.force(true);
        }
    }

    private static long first(Path file) {
        String name = file.getFileName().toString();
        return Long.parseLong(name.substring(PREFIX.length(), name.length() - SUFFIX.length()));
    }
}
