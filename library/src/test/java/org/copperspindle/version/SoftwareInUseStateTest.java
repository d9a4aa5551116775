package org.copperspindle.version;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.copperspindle.control.ControlResult;
import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class SoftwareInUseStateTest {

    private static final VersionMessage VERSION = new VersionMessage(3, "text".getBytes(StandardCharsets.UTF_8));
    private static final EvacuationsMessage EVACUATIONS = new EvacuationsMessage(2, List.of("d"));

    private final List<SoftwareInUseMessage> observed = new ArrayList<>();
    private final VersionState state = new VersionState(new RecordingObserver());
    private long index;

    /** A proposal is repeated after a lost result: only what changes the list may get a new revision. */
    @ParameterizedTest
    @CsvSource({
        "+p:a, 1, p=a",
        "+p:a +p:a, 1, p=a",
        "+p:b:a +q:a, 2, p=a:b q=a",
        "+p:a:b -p:a, 2, p=b",
        "+p:a -p:a, 2, ''",
        "+p:a -p:a -p:a, 2, ''",
        "+p:a -q:a, 1, p=a",
        "+p, 1, ''",
        "+p +p +q, 1, ''",
    })
    void lastChangeInTheLogWins(String changes, long revision, String expected) {
        for (String change : changes.split(" ")) {
            apply(change);
        }
        assertThat(state.held().software().revision()).isEqualTo(revision);
        assertThat(text(state.held().software())).isEqualTo(expected);
        assertThat(observed).hasSize((int) revision);
        assertThat(restored(state.snapshot())).isEqualTo(state.held());
    }

    /** The other parts of the state, and their revisions, are not affected. */
    @Test
    void changeKeepsTheOtherParts() {
        state.apply(++index, 1, VersionMessage.CODEC.encode(VERSION));
        state.apply(++index, 1, EvacuationCommand.CODEC.encode(new EvacuationCommand("d", true)));
        assertThat(apply("+p:a")).isEqualTo(new ControlResult.ConfigAccepted(3));
        assertThat(state.held().newestVersion()).map(VersionMessage::version).contains(3L);
        assertThat(state.held().evacuations()).isEqualTo(EVACUATIONS);
        state.apply(++index, 1, EvacuationCommand.CODEC.encode(new EvacuationCommand("d", false)));
        assertThat(text(state.held().software())).isEqualTo("p=a");
    }

    /** An upstream announces another version each time: the state of each node must stay bounded. */
    @ParameterizedTest
    @CsvSource({"1, 64", "64, 1024"})
    void refusesMoreVersionsThanAnyDeploymentHas(int pools, int accepted) {
        for (int pool = 0; pool < pools; pool++) {
            for (int version = 0; version < SoftwareInUseMessage.MAX_VERSIONS_PER_POOL; version++) {
                apply("+p" + pool + ":v" + version);
            }
        }
        assertThat(state.held().software().count()).isEqualTo(accepted);
        assertThat(apply("+p0:one-more")).isInstanceOf(ControlResult.ConfigRefused.class);
        assertThat(apply("+p0:v0")).isInstanceOf(ControlResult.ConfigAccepted.class);
        assertThat(apply("-p0:v0")).isInstanceOf(ControlResult.ConfigAccepted.class);
        assertThat(apply("+p0:one-more")).isInstanceOf(ControlResult.ConfigAccepted.class);
    }

    /** Versions that don't fit together are refused together: some of them alone would be concluded from. */
    @Test
    void refusesACommandThatFitsInPart() {
        List<String> many = IntStream.rangeClosed(0, SoftwareInUseMessage.MAX_VERSIONS_PER_POOL)
                .mapToObj(i -> "v" + i)
                .toList();
        assertThat(apply(new SoftwareCommand("p", many, true))).isInstanceOf(ControlResult.ConfigRefused.class);
        assertThat(state.held().software()).isEqualTo(SoftwareInUseMessage.NONE);
    }

    /** A member starts with the snapshot of a build without software versions: nothing may be concluded from it. */
    @Test
    void snapshotOfAnOlderBuildKeepsNoList() {
        VersionSnapshotMessage read = restored(OldSnapshot.CODEC.encode(new OldSnapshot(VERSION, EVACUATIONS)));
        assertThat(read.newestVersion()).map(VersionMessage::version).contains(3L);
        assertThat(read.evacuations()).isEqualTo(EVACUATIONS);
        assertThat(read.software().isKept()).isFalse();
        assertThat(observed).isEmpty();
    }

    /** A member is started with the older build again: it must find its version and its evacuations. */
    @ParameterizedTest
    @CsvSource({"0", "9"})
    void snapshotIsReadByAnOlderBuild(long revision) throws MalformedFrameException {
        SoftwareInUseMessage software = SoftwareInUseMessage.NONE.after(command("+p:a"), revision);
        byte[] snapshot = VersionSnapshotMessage.CODEC.encode(
                new VersionSnapshotMessage(Optional.of(VERSION), EVACUATIONS, software));
        OldSnapshot read = OldSnapshot.CODEC.decode(snapshot);
        assertThat(read.version().version()).isEqualTo(3);
        assertThat(read.evacuations()).isEqualTo(EVACUATIONS);
        assertThat(snapshot.length > OldSnapshot.CODEC.encode(read).length).isEqualTo(revision > 0);
    }

    /** Pools and versions are sent as two lists; with different lengths a version would get the pool of another. */
    @Test
    void listOfUnequalLengthsIsMalformed() {
        byte[] unequal = UnequalList.CODEC.encode(new UnequalList());
        assertThatThrownBy(() -> SoftwareInUseMessage.CODEC.decode(unequal))
                .isInstanceOf(MalformedFrameException.class);
    }

    private ControlResult apply(String change) {
        return apply(command(change));
    }

    private ControlResult apply(SoftwareCommand change) {
        return state.apply(++index, 1, SoftwareCommand.CODEC.encode(change));
    }

    private static SoftwareCommand command(String change) {
        String[] parts = change.substring(1).split(":");
        return new SoftwareCommand(parts[0], List.of(parts).subList(1, parts.length), change.startsWith("+"));
    }

    private VersionSnapshotMessage restored(byte[] snapshot) {
        observed.clear();
        VersionState other = new VersionState(new RecordingObserver());
        other.restore(snapshot);
        return other.held();
    }

    private static String text(SoftwareInUseMessage software) {
        List<String> pools = new ArrayList<>();
        software.versionsByPool().forEach((pool, versions) -> pools.add(pool + '=' + String.join(":", versions)));
        return String.join(" ", pools);
    }

    /** Records the lists that an observer receives. */
    private final class RecordingObserver implements VersionObserver {
        @Override
        public void onVersion(VersionMessage version) {
            assertThat(version.version()).isPositive();
        }

        @Override
        public void onEvacuations(EvacuationsMessage evacuations) {
            assertThat(evacuations.revision()).isPositive();
        }

        @Override
        public void onSoftware(SoftwareInUseMessage software) {
            observed.add(software);
        }
    }

    /** Snapshot as builds without software versions write and read it. */
    private record OldSnapshot(VersionMessage version, EvacuationsMessage evacuations) implements WireMessage {

        private static final MessageCodec<OldSnapshot> CODEC =
                MessageCodec.of(215, OldSnapshot.class, OldSnapshot::write, OldSnapshot::read);

        private void write(FieldWriter out) {
            out.put(1, VersionMessage.CODEC.encode(version)).put(2, EvacuationsMessage.CODEC.encode(evacuations));
        }

        private static OldSnapshot read(FieldReader in) {
            return new OldSnapshot(
                    VersionMessage.CODEC.decodeNested(in.getBytes(1)),
                    EvacuationsMessage.CODEC.decodeNested(in.getBytes(2)));
        }
    }

    /** A list of two versions for one pool. */
    private record UnequalList() implements WireMessage {

        private static final MessageCodec<UnequalList> CODEC =
                MessageCodec.of(217, UnequalList.class, UnequalList::write, in -> new UnequalList());

        private void write(FieldWriter out) {
            out.put(1, 5).putStrings(2, List.of("p")).putStrings(3, List.of("a", "b"));
        }
    }
}
