package org.copperspindle.benchmarks;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.List;
import java.util.stream.Stream;

import org.copperspindle.audit.AuditFolder;
import org.copperspindle.audit.AuditStore;
import org.copperspindle.audit.AuditVerifier;
import org.copperspindle.control.ApplyConfigCommand;
import org.copperspindle.control.ControlState;

/**
 * Measures the audit trail: bytes and processor time for each change by size of the configuration, and the time that
 * verification takes by number of records. Run with a folder for scratch files as the only argument.
 */
public final class AuditMeasurement {

    private static final List<Integer> RECORDS = List.of(5_000, 10_000, 20_000, 40_000);
    private static final List<Integer> ACCOUNTS = List.of(5, 500, 4_400);
    private static final int CHANGES = 40;
    private static final int REPEATS = 5;

    private AuditMeasurement() {}

    /**
     * Runs the measurement and prints one line for each point.
     *
     * @param arguments the scratch folder
     * @throws IOException if the folder can't be used
     */
    public static void main(String[] arguments) throws IOException {
        Path scratch = Path.of(arguments[0]);
        for (int accounts : ACCOUNTS) {
            changes(scratch.resolve("accounts-" + accounts), accounts);
        }
        for (int records : RECORDS) {
            verification(scratch.resolve("records-" + records), records);
        }
    }

    private static void changes(Path folder, int accounts) throws IOException {
        long micros = 0;
        try (AuditStore store = new AuditStore(folder)) {
            ControlState audited = new ControlState(store, Clock.systemUTC());
            for (int i = 0; i < CHANGES; i++) {
                byte[] command =
                        audited.encode(new ApplyConfigCommand("change-" + i, i, "operator", text(accounts, i)));
                long start = System.nanoTime();
                audited.apply(i + 1, 1, command);
                if (i >= CHANGES / 2) {
                    micros += (System.nanoTime() - start) / 1000;
                }
            }
        }
        System.out.println("accounts=" + accounts + " bytes-per-change=" + size(folder) / CHANGES
                + " apply-micros-per-change=" + micros / (CHANGES / 2));
    }

    private static void verification(Path folder, int records) throws IOException {
        try (AuditStore store = new AuditStore(folder)) {
            ControlState state = new ControlState(store, Clock.systemUTC());
            for (int i = 0; i < records; i++) {
                state.apply(i + 1, 1, state.encode(new ApplyConfigCommand("change-" + i, i, "operator", text(5, i))));
            }
        }
        long best = Long.MAX_VALUE;
        for (int i = 0; i < REPEATS; i++) {
            long start = System.nanoTime();
            AuditVerifier verifier = new AuditFolder(folder).verify(r -> {});
            best = Math.min(best, System.nanoTime() - start);
            if (verifier.checked() != records || !verifier.findings().isEmpty()) {
                throw new IllegalStateException("not intact: " + verifier.findings());
            }
        }
        System.out.println("records=" + records + " bytes=" + size(folder) + " verify-micros=" + best / 1000);
    }

    private static String text(int accounts, int change) {
        StringBuilder text = new StringBuilder("[deployment]\nname = measured\nfailure-domains = north\n");
        for (int i = 0; i < accounts; i++) {
            text.append("[account client-").append(i).append("]\n");
            text.append("key-sha256 = ").append("0123456789abcdef".repeat(4)).append('\n');
            text.append("rate-per-second = ")
                    .append(i == change % accounts ? 10 + change : 10)
                    .append('\n');
            text.append("pipelines = describe, review\n");
        }
        return text.toString();
    }

    private static long size(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.mapToLong(p -> p.toFile().length()).sum();
        }
    }
}
