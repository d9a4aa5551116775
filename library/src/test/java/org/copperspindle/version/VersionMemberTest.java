package org.copperspindle.version;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.copperspindle.consensus.ConsensusLog;
import org.copperspindle.consensus.ConsensusSettings;
import org.copperspindle.consensus.VoterAddress;
import org.copperspindle.consensus.VoterSource;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.loopback.LoopbackHost;
import org.copperspindle.time.SystemTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.NumericAddress;
import org.copperspindle.wire.WireTransport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class VersionMemberTest {

    private static final long ASK_AGAIN_MILLIS = 20;

    @TempDir
    private Path folder;

    /**
     * A node that lost power starts again while its port is still taken. Opening its member of the control group failed once,
     * and then for ever: "member-not-opened reason=Address already in use" was followed by "log-refused reason=folder is in
     * use by another process" twice a second, since the half opened member kept the lock of its folder. After a loss of two
     * disks and of the power of all other nodes the group had no majority any more, and no caller was served.
     */
    @Test
    void memberIsOpenedOnceItsPortIsFree() throws IOException {
        MessageRegistry registry = WireTransport.registry();
        ConsensusLog.codecs().forEach(registry::register);
        try (DecisionRing ring = new DecisionRing("test", 64);
                WireTransport transport = new WireTransport(
                        1, registry, new GreetingMessage(GreetingMessage.PROTOCOL, "control", "m", 1))) {
            InetSocketAddress address = LoopbackHost.open().nextAddress();
            try (ServerSocket taken = new ServerSocket(address.getPort(), 1, address.getAddress())) {
                assertThat(taken.isBound()).isTrue();
                assertThatThrownBy(() -> open(ring, transport, address)).isInstanceOf(IOException.class);
            }
            try (VersionMember member = open(ring, transport, address)) {
                assertThat(member.isRunning()).isTrue();
            }
        }
    }

    /**
     * A node starts with the folder of a build that knew no evacuations: its version is in force, and an evacuation is kept beside it from
     * then on.
     */
    @Test
    void folderOfABuildWithoutEvacuationsIsRead() throws IOException {
        for (String name : List.of("member", "log-0000000000000002", "snapshot-0000000000000001")) {
            Files.copy(VersionMemberTest.class.getResourceAsStream("/control-folder/" + name), folder.resolve(name));
        }
        EvacuationCommand order = new EvacuationCommand("d", true);
        assertThat(held((member, ended) -> member.read(ended)).version()).isEqualTo(3);
        assertThat(held((member, ended) -> member.evacuate(order, ended))
                        .evacuations()
                        .failureDomains())
                .containsExactly("d");
        VersionSnapshotMessage held = held((member, ended) -> member.read(ended));
        assertThat(held.newestVersion().map(edition -> new String(edition.text(), StandardCharsets.UTF_8)))
                .hasValue("text 3");
        assertThat(held.evacuations().failureDomains()).containsExactly("d");
    }

    /** Opens the member named "voter", asks until it leads and has answered, and closes it. */
    private VersionSnapshotMessage held(BiConsumer<VersionMember, Consumer<VersionResult>> question)
            throws IOException {
        MessageRegistry registry = WireTransport.registry();
        ConsensusLog.codecs().forEach(registry::register);
        InetSocketAddress address = LoopbackHost.open().nextAddress();
        try (DecisionRing ring = new DecisionRing("test", 64);
                WireTransport transport = new WireTransport(
                        1, registry, new GreetingMessage(GreetingMessage.PROTOCOL, "control", "m", 1));
                VersionMember member = open(ring, transport, new VoterAddress("voter", address))) {
            BlockingQueue<VersionResult> results = new LinkedBlockingQueue<>();
            while (true) {
                question.accept(member, results::add);
                if (results.take() instanceof VersionResult.Recorded recorded) {
                    return recorded.held();
                }
                Thread.sleep(ASK_AGAIN_MILLIS);
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private VersionMember open(DecisionRing ring, WireTransport transport, InetSocketAddress address)
            throws IOException {
        return open(ring, transport, new VoterAddress(NumericAddress.format(address), address));
    }

    private VersionMember open(DecisionRing ring, WireTransport transport, VoterAddress voter) throws IOException {
        InetSocketAddress address = voter.address();
        ConsensusSettings settings = new ConsensusSettings(
                "control",
                voter.name(),
                address,
                new InetSocketAddress(address.getAddress(), 1),
                VoterSource.fixedVoters(List.of(voter)),
                true,
                folder,
                Duration.ofMillis(400));
        return VersionMember.open(
                ring,
                new SystemTimerService("timer", ring),
                transport,
                settings,
                address,
                new VersionState(new IgnoringObserver()),
                status -> {});
    }
}
