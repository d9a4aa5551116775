package org.copperspindle.gateway;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.mesh.MajorityWatch;
import org.copperspindle.origin.ObservedSoftware;
import org.copperspindle.origin.OriginView;
import org.copperspindle.route.RouteTableResult;
import org.copperspindle.route.TestRoutes;
import org.copperspindle.time.SuspensionDetector;
import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.version.SoftwareInUseMessage;
import org.copperspindle.version.VersionHolder;
import org.copperspindle.version.VersionLeaseRequestMessage;
import org.copperspindle.version.VersionLeaseResponseMessage;
import org.copperspindle.version.VersionMessage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * One node; the test plays the leader of the control group.
 */
class AgreedSoftwareTest {

    private static final long MILLI = 1_000_000L;
    private static final long LIFETIME = Duration.ofSeconds(30).toNanos();

    private final VirtualTimerService time = new VirtualTimerService();
    private final List<VersionLeaseRequestMessage> requests = new ArrayList<>();
    private final List<Optional<SoftwareVersion>> found = new ArrayList<>();
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final MajorityWatch majority = new MajorityWatch(() -> 2, time);
    private final ObservedSoftware observed = new ObservedSoftware(directory, majority, time, () -> LIFETIME);
    private final VersionHolder holder = new VersionHolder(
            time,
            text -> new RouteTableResult.Valid(TestRoutes.table(1, List.of(), List.of())),
            Duration.ofMillis(3800),
            new SuspensionDetector(time::nanoTime, () -> time.nanoTime() / MILLI),
            requests::add);
    private boolean isolated;
    private final AgreedSoftware agreed = new AgreedSoftware(holder, observed, () -> isolated, time);

    @BeforeEach
    void holdAVersion() {
        holder.receive(new VersionMessage(1, "1".getBytes(StandardCharsets.UTF_8)));
    }

    /** A version that nobody else knows would be missed by every conclusion after a start of all nodes. */
    @ParameterizedTest
    @CsvSource({"old, true", "new, false", "'', false"})
    void onlyRecordedVersionsBeginStreams(String software, boolean may) {
        keep(5, "old");
        assertThat(agreed.mayBegin(upstream("p", software))).isEqualTo(may);
        assertThat(agreed.mayBegin(upstream("q", software))).isFalse();
        keep(6, "old", software);
        assertThat(agreed.mayBegin(upstream("p", software))).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"old, old", "'', ''", "old new, ", ", "})
    void onlyVersionIsConcludedFromTheConfirmedList(String recorded, String only) {
        keep(5, recorded == null ? new String[0] : recorded.split(" ", -1));
        find();
        respond(5);
        assertThat(found).containsExactly(Optional.ofNullable(only).map(SoftwareVersion::of));
    }

    /** A second version began the stream at another node; this node has not received the list yet. */
    @Test
    void versionThatWasRecordedElsewhereIsSeen() {
        keep(5, "old");
        holder.requestLease();
        long earlier = requests.get(requests.size() - 1).sequence();
        find();
        holder.receive(new VersionLeaseResponseMessage(earlier, 1, 0, 5));
        assertThat(found).as("from a response to a request from before").isEmpty();
        respond(6);
        assertThat(found).as("without the list that the leader named").isEmpty();
        holder.receive(list(6, "old", "new"));
        assertThat(found).containsExactly(Optional.empty());
    }

    /** What this node has heard of itself since its start is not what was in use before. */
    @Test
    void memoryOfThisNodeIsNotUsedBesideTheList() {
        hear("new");
        keep(5, "old");
        find(new OriginView(Optional.empty(), List.of(SoftwareVersion.of("new")), true));
        respond(5);
        assertThat(found).containsExactly(Optional.of(SoftwareVersion.of("old")));
    }

    /** The leader is lost: the next one confirms, since a node that fails often leads. */
    @Test
    void confirmationIsSoughtWhileALeaderIsElected() {
        keep(5, "old");
        find();
        time.advance(2000 * MILLI);
        assertThat(found).isEmpty();
        respond(5);
        assertThat(found).containsExactly(Optional.of(SoftwareVersion.of("old")));
    }

    /** No leader answers: a version that nobody has confirmed must not continue the stream. */
    @ParameterizedTest
    @CsvSource({"false, old, 2500", "true, old, 250", "false, old new, 250"})
    void withoutALeaderNothingIsConcluded(boolean cutOff, String recorded, long untilMillis) {
        keep(5, recorded.split(" "));
        isolated = cutOff;
        find(new OriginView(Optional.empty(), List.of(SoftwareVersion.of("old")), true));
        time.advance((untilMillis - 15) * MILLI);
        assertThat(found).isEmpty();
        time.advance(20 * MILLI);
        assertThat(found).containsExactly(Optional.empty());
    }

    /** The leader is of an older build: its nodes go on as before, also those that hold a list of a former leader. */
    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true", "false, false"})
    void observedVersionsAreUsedWhileTheLeaderKeepsNoList(boolean heldBefore, boolean informed) {
        if (heldBefore) {
            keep(5, "former");
        }
        holder.requestLease();
        respond(0);
        hear("old");
        assertThat(agreed.mayBegin(upstream("p", "old"))).isTrue();
        find(new OriginView(Optional.empty(), List.of(SoftwareVersion.of("old")), informed));
        assertThat(found).isEmpty();
        respond(0);
        assertThat(found).containsExactly(informed ? Optional.of(SoftwareVersion.of("old")) : Optional.empty());
    }

    /** A pool whose streams may not be resumed is never listed: refusing what is taken up there would be new. */
    @Test
    void observedVersionsAreUsedForAPoolWithoutARecordedVersion() {
        holder.receive(new SoftwareInUseMessage(5, new TreeMap<>(Map.of("q", List.of("other")))));
        hear("old");
        find(new OriginView(Optional.empty(), List.of(SoftwareVersion.of("old")), true));
        respond(5);
        assertThat(found).containsExactly(Optional.of(SoftwareVersion.of("old")));
    }

    /** Records are stored elsewhere as soon as a second version is heard of, which is before it may begin streams. */
    @ParameterizedTest
    @CsvSource({"old, old, false", "old new, old, true", "old, old new, true", "old, new, false"})
    void poolIsMixedByWhatIsRecordedOrHeard(String recorded, String heard, boolean mixed) {
        keep(5, recorded.split(" "));
        for (String each : heard.split(" ")) {
            hear(each);
        }
        assertThat(agreed.isMixed("p")).isEqualTo(mixed);
    }

    private void find(OriginView... views) {
        agreed.findOnly("p", List.of(views), found::add);
        time.advance(5 * MILLI);
    }

    private void keep(long revision, String... versions) {
        holder.receive(list(revision, versions));
    }

    private void respond(long revision) {
        holder.receive(new VersionLeaseResponseMessage(
                requests.get(requests.size() - 1).sequence(), 1, 0, revision));
    }

    private void hear(String software) {
        directory.accept(upstream("p", software), time.nanoTime());
    }

    private static UpstreamRecord upstream(String pool, String software) {
        return new UpstreamRecord(
                pool + software,
                0,
                pool,
                "10.0.0.1:" + (1 + software.length()),
                "d",
                UpstreamPhase.READY,
                1,
                1,
                0,
                0,
                SoftwareVersion.of(software));
    }

    private static SoftwareInUseMessage list(long revision, String... versions) {
        TreeMap<String, List<String>> byPool = new TreeMap<>();
        byPool.put("p", List.of(versions));
        return new SoftwareInUseMessage(revision, byPool);
    }
}
