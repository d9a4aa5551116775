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

    private static final long RETRY_MILLIS = 20;

    @TempDir
    private Path folder;

    /**
     * A node restarts after a power loss while its port is still in use. Opening its member failed once, and then
     * forever: "member-not-opened reason=Address already in use" was followed twice a second by "log-refused
     * reason=folder is in use by another process", because the partly opened member kept the lock on its folder.
     * After the loss of two disks and a power loss of all other nodes, the group had no majority and no caller was
     * served.
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
     * A node starts with the folder of a build without evacuations: its version is in force, and evacuations are
     * stored beside it from then on.
     */
    @Test
    void folderOfABuildWithoutEvacuationsIsRead() throws IOException {
        for (String name : List.of("member", "log-0000000000000002", "snapshot-0000000000000001")) {
            Files.copy(VersionMemberTest.class.getResourceAsStream("/control-folder/" + name), folder.resolve(name));
        }
        EvacuationCommand order = new EvacuationCommand("d", true);
        assertThat(held((member, callback) -> member.read(callback)).version()).isEqualTo(3);
        assertThat(held((member, callback) -> member.evacuate(order, callback))
                        .evacuations()
                        .failureDomains())
                .containsExactly("d");
        VersionSnapshotMessage held = held((member, callback) -> member.read(callback));
        assertThat(held.newestVersion().map(newVersion -> new String(newVersion.text(), StandardCharsets.UTF_8)))
                .hasValue("text 3");
        assertThat(held.evacuations().failureDomains()).containsExactly("d");
    }

    /** Opens the member named "voter", repeats the request until it is the leader and has responded, and closes it. */
    private VersionSnapshotMessage held(BiConsumer<VersionMember, Consumer<VersionResult>> request) throws IOException {
        MessageRegistry registry = WireTransport.registry();
        ConsensusLog.codecs().forEach(registry::register);
        InetSocketAddress address = LoopbackHost.open().nextAddress();
        try (DecisionRing ring = new DecisionRing("test", 64);
                WireTransport transport = new WireTransport(
                        1, registry, new GreetingMessage(GreetingMessage.PROTOCOL, "control", "m", 1));
                VersionMember member = open(ring, transport, new VoterAddress("voter", address))) {
            BlockingQueue<VersionResult> results = new LinkedBlockingQueue<>();
            while (true) {
                request.accept(member, results::add);
                if (results.take() instanceof VersionResult.Recorded recorded) {
                    return recorded.held();
                }
                Thread.sleep(RETRY_MILLIS);
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
