package org.copperspindle.cli;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;

import org.copperspindle.emulator.ExecutionLedger;
import org.copperspindle.emulator.FakeKind;
import org.copperspindle.emulator.FakeUpstream;
import org.copperspindle.loopback.LoopbackHost;
import org.copperspindle.wire.NumericAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Crowds of clients at an entry; its process is also an agent and the only control member.
 */
class EntryUnderCrowdTest {

    private static final String START =
            "POST /v1/services/gallery HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\n";
    private static final String ORDINARY_BODY = "{\"input\":\"x\"}";

    @TempDir
    private Path folder;

    private final FakeUpstream gallery =
            new FakeUpstream(FakeKind.SERVICE, Duration.ofMillis(2), new ExecutionLedger());
    private InetSocketAddress callers;
    private DaemonProcess process;

    @BeforeEach
    void start() throws Exception {
        LoopbackHost host = LoopbackHost.open();
        InetSocketAddress wire = host.nextAddress();
        InetSocketAddress operators = host.nextAddress();
        callers = host.nextAddress();
        process = new DaemonProcess(
                folder,
                "process",
                "[process]\nid = p\nfailure-domain = north\nlisten = " + NumericAddress.format(wire) + "\ncontrols = "
                        + NumericAddress.format(wire) + "\n[entry]\nlisten = " + NumericAddress.format(callers)
                        + "\nmax-body = 512KiB\nmax-connections = 500\nread-timeout = 5s\nidle-timeout = 10s\n"
                        + "[control]\nlisten = " + NumericAddress.format(operators) + "\ndata-folder = "
                        + folder.resolve("data") + "\nvoters = p@" + NumericAddress.format(wire)
                        + "\n[agent]\nupstream-id = gallery-1\npool = gallery\nupstream = "
                        + NumericAddress.format(gallery.address()) + "\n");
        Path file = Path.of(
                EntryUnderCrowdTest.class.getResource("/crowd-deployment.ini").toURI());
        RawCall.until("applied", process, () -> apply(file, operators));
        RawCall.untilServed("ready", process, callers, START, ORDINARY_BODY);
    }

    @AfterEach
    void stop() {
        process.close();
        gallery.close();
    }

    /** Guards against clients that end or block the entry, or take the memory or the connections of ordinary callers. */
    @ParameterizedTest
    @EnumSource(CrowdKind.class)
    void crowdIsBorne(CrowdKind kind) throws Exception {
        ProcessBounds.checkUnder(kind, process, callers, START, ORDINARY_BODY);
    }

    /** Guards against limits that refuse one legal request while nothing else is there. */
    @ParameterizedTest
    @EnumSource(LegalRequest.class)
    void legalRequestAloneIsServed(LegalRequest request) throws Exception {
        assertThat(request.sendTo(callers, START)).startsWith("HTTP/1.1 200");
        ProcessBounds.checkMemory(process);
    }

    private static boolean apply(Path file, InetSocketAddress operators) {
        String[] arguments = {
            "apply",
            file.toString(),
            "--base",
            "0",
            "--change-id",
            "c1",
            "--operator",
            "test",
            "--control",
            NumericAddress.format(operators)
        };
        return Copperspindle.run(arguments) == ExitCode.SUCCESS;
    }
}
