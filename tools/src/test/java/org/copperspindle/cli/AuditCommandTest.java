package org.copperspindle.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.copperspindle.audit.AuditEntryFactory;
import org.copperspindle.audit.AuditStore;
import org.copperspindle.audit.AuditTrail;
import org.copperspindle.daemon.CopperspindleProcess;
import org.copperspindle.daemon.ProcessSettings;
import org.copperspindle.settings.SettingsFile;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The audit command on a folder of audit files and on a control member.
 */
class AuditCommandTest {

    @TempDir
    private Path folder;

    @BeforeEach
    void writeTrail() throws Exception {
        try (AuditStore store = new AuditStore(folder)) {
            AuditTrail trail = new AuditTrail(store);
            trail.append(1, 1, AuditEntryFactory.change("ann", "c1", 0, 1, "", "[deployment]\nname = a\n", 1000));
            trail.append(2, 1, AuditEntryFactory.inForce("control-1", "c1", 1, 2000, List.of("north members=2")));
            trail.append(3, 1, AuditEntryFactory.change("ben", "c2", 1, 2, "", "[deployment]\nname = b\n", 3000));
            trail.append(4, 1, AuditEntryFactory.order("engine-1", "engine-1/1", 2, 4000, "load-model llm-1"));
        }
    }

    @ParameterizedTest
    @CsvSource({
        "--operator, ann, 1",
        "--change-id, c1, 2",
        "--kind, order, 1",
        "--kind, in-force, 1",
        "--from-version, 2, 2",
        "--to-version, 1, 2",
        "--since, 1970-01-01T00:00:02Z, 3",
        "--until, 1970-01-01T00:00:02Z, 2"
    })
    void filtersSelectRecords(String filter, String value, int expected) {
        List<String> lines = run(ExitCode.SUCCESS, filter, value, "--format", "json");

        assertThat(lines).hasSize(expected + 1);
        assertThat(lines.get(expected)).contains("\"chain\":\"intact\"").contains("\"checked\":4");
    }

    /**
     * A byte of the second record is modified on disk. The command fails and names the record, the file and the offset,
     * even though the filter leaves that record out.
     */
    @Test
    void modifiedByteFailsTheCommand() throws Exception {
        Path file;
        try (Stream<Path> files = Files.list(folder)) {
            file = files.findFirst().orElseThrow();
        }
        byte[] bytes = Files.readAllBytes(file);
        int at = new String(bytes, StandardCharsets.ISO_8859_1).indexOf("north");
        bytes[at] = 'N';
        Files.write(file, bytes);

        List<String> lines = run(ExitCode.FAILED, "--operator", "ann");

        assertThat(lines).anyMatch(l -> l.startsWith("changed record=2 file=" + file.getFileName() + " offset="));
        assertThat(lines.get(lines.size() - 1)).startsWith("chain=changed");
    }

    /**
     * A control member accepts a change through its operator endpoint. The command reads the trail from that endpoint
     * and verifies it against the head in the replicated state.
     */
    @Test
    void readsFromControlMember() throws Exception {
        Path config = Files.writeString(folder.resolve("new.ini"), "[deployment]\nname = a\nfailure-domains = north\n");
        CopperspindleProcess control = CopperspindleProcess.start(ProcessSettings.read(SettingsFile.parse(
                "control",
                "[process]\nid = control-1\nfailure-domain = north\nlisten = 127.0.0.1:0\n"
                        + "[control]\nlisten = 127.0.0.1:0\ndata-folder = " + folder.resolve("data")
                        + "\nvoters = control-1@127.0.0.1:0\n")));
        try {
            String address =
                    "127.0.0.1:" + control.operatorAddress().orElseThrow().getPort();
            String[] apply = {
                "apply",
                config.toString(),
                "--base",
                "0",
                "--change-id",
                "c1",
                "--operator",
                "ann",
                "--control",
                address
            };
            ExitCode applied = Copperspindle.run(apply);
            for (int i = 0; i < 1000 && applied != ExitCode.SUCCESS; i++) {
                // No leader yet; the change id makes the retry idempotent.
                applied = Copperspindle.run(apply);
            }
            assertThat(applied).isEqualTo(ExitCode.SUCCESS);

            List<String> lines = captured(ExitCode.SUCCESS, "audit", "--control", address, "--kind", "change");

            assertThat(lines.get(0)).contains("actor=ann").contains("base=0 version=1");
            assertThat(lines.get(1)).isEqualTo("    + [deployment]");
            assertThat(lines.get(lines.size() - 1)).startsWith("chain=intact checked=");
            List<String> inForce = await(address, "in-force");
            assertThat(await(address, "repair"))
                    .anyMatch(l -> l.startsWith("    leads term="))
                    .anyMatch(l -> l.startsWith("    members are ") && l.contains("control-1"));
            assertThat(inForce.get(0)).contains("subject=version-1").contains("time=20");
            assertThat(inForce.get(1)).startsWith("    entries=0 agents=0 after-ms=");
        } finally {
            control.stop();
        }
    }

    /** Reads the trail until it contains a record of a kind. */
    private static List<String> await(String address, String kind) {
        List<String> lines = List.of();
        for (int i = 0; i < 2000 && lines.size() < 3; i++) {
            lines = captured(ExitCode.SUCCESS, "audit", "--control", address, "--kind", kind);
        }
        return lines;
    }

    private List<String> run(ExitCode expected, String... arguments) {
        List<String> all = new ArrayList<>(List.of("audit", "--folder", folder.toString()));
        all.addAll(List.of(arguments));
        return captured(expected, all.toArray(new String[0]));
    }

    private static List<String> captured(ExitCode expected, String... arguments) {
        PrintStream original = System.out;
        ByteArrayOutputStream captured = new ByteArrayOutputStream();
        System.setOut(new PrintStream(captured, true, StandardCharsets.UTF_8));
        try {
            assertThat(Copperspindle.run(arguments)).isEqualTo(expected);
        } finally {
            System.setOut(original);
        }
        return captured.toString(StandardCharsets.UTF_8).lines().toList();
    }
}
