package org.copperspindle.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.copperspindle.daemon.CopperspindleProcess;
import org.copperspindle.daemon.ProcessSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Reports of the apply command when control members fail during a change, over real sockets.
 */
class ApplyFailoverTest {

    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);

    @TempDir
    private Path data;

    private CopperspindleProcess control;
    private ServerSocket closingMember;

    @BeforeEach
    void start() throws Exception {
        control = CopperspindleProcess.start(new ProcessSettings(
                "control-1",
                "north",
                ANY,
                List.of(),
                Optional.empty(),
                Optional.empty(),
                Optional.of(new ProcessSettings.ControlSettings(ANY, data, Duration.ofSeconds(5)))));
        closingMember = new ServerSocket(0);
        Thread reader = new Thread(this::readAndClose, "breaking");
        reader.setDaemon(true);
        reader.start();
    }

    @AfterEach
    void stop() throws Exception {
        closingMember.close();
        control.kill();
    }

    /** One member reads the change and closes the connection, a second one is down, the third responds. */
    @Test
    void triesTheNextMemberWhenOneFails() {
        ExitCode code = apply("c1", 0, "30", address(closingMember), "127.0.0.1:1", operators());

        assertThat(code).isEqualTo(ExitCode.SUCCESS);
    }

    /** Only the member that closes connections is reachable. It may have applied the change: the outcome is unknown. */
    @Test
    void closedConnectionLeavesTheOutcomeUnknown() {
        assertThat(apply("c1", 0, "1", address(closingMember))).isEqualTo(ExitCode.UNKNOWN);
    }

    /** No member accepts a connection: the change cannot have been applied and is reported as refused. */
    @Test
    void changeThatReachedNoMemberIsRefused() {
        assertThat(apply("c1", 0, "1", "127.0.0.1:1")).isEqualTo(ExitCode.FAILED);
    }

    /** Two operators change the same version: the refusal names the operator and the version of the first change. */
    @Test
    void conflictNamesTheEarlierChange() {
        assertThat(apply("c1", 0, "30", operators())).isEqualTo(ExitCode.SUCCESS);
        String printed =
                output(() -> assertThat(apply("c2", 0, "30", operators())).isEqualTo(ExitCode.FAILED));

        assertThat(printed).contains("\"version\":1").contains("\"operator\":\"ann\"");
        assertThat(apply("c1", 0, "30", operators())).isEqualTo(ExitCode.SUCCESS);
    }

    @Test
    void statusShowsTheVersion() {
        apply("c1", 0, "30", operators());
        String text = output(() -> Copperspindle.run(new String[] {"status", "--control", operators()}));
        String json =
                output(() -> Copperspindle.run(new String[] {"status", "--control", operators(), "--format", "json"}));

        assertThat(text).contains("leader this member").contains("version 1");
        assertThat(json).startsWith("{\"leads\":true").contains("\"version\":1");
    }

    private String operators() {
        return "127.0.0.1:" + control.operatorAddress().orElseThrow().getPort();
    }

    private static String address(ServerSocket socket) {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    private static ExitCode apply(String change, long base, String timeout, String... controls) {
        String file = ApplyFailoverTest.class.getResource("/whole-path.ini").getPath();
        return Copperspindle.run(new String[] {
            "apply",
            file,
            "--base",
            "" + base,
            "--change-id",
            change,
            "--operator",
            "ann",
            "--timeout",
            timeout,
            "--control",
            String.join(",", controls)
        });
    }

    private static String output(Runnable task) {
        PrintStream before = System.out;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        try {
            task.run();
        } finally {
            System.setOut(before);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    private void readAndClose() {
        while (!closingMember.isClosed()) {
            try (Socket socket = closingMember.accept()) {
                socket.getInputStream().read(new byte[1024]);
            } catch (IOException e) {
                return;
            }
        }
    }
}
