package org.copperspindle.origin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;

import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What nodes know of the origin of streams once they have been started again, all or nearly all at once.
 */
class OriginsAfterStartOfAllTest {

    private static final int DISKS = 5;
    private static final int NODES = 7;
    private static final int STREAMS = 20;
    private static final int DISKLESS = NODES - 1;
    private static final OriginResult UNKNOWN = new OriginResult.Unknown();

    private OriginFleet fleet = new OriginFleet(DISKS, NODES - DISKS, 1);
    private UpstreamRecord old;
    private UpstreamRecord next;

    static Stream<Arguments> lostDisks() {
        List<Arguments> cases = new ArrayList<>();
        for (int first = 0; first < DISKS; first++) {
            cases.add(Arguments.of(1, List.of(first)));
            for (int second = 0; second < first; second++) {
                cases.add(Arguments.of(2, List.of(second, first)));
            }
        }
        return cases.stream();
    }

    @AfterEach
    void close() {
        fleet.close();
    }

    /** All processes are killed: what was written must be read again, wherever the caller comes back. */
    @ParameterizedTest
    @ValueSource(ints = {0, DISKLESS})
    void streamsGoOnAfterAKillOfAll(int begunAt) {
        beginStreams(begunAt);
        fleet.advance(OriginFleet.SYNCED);
        fleet.kill(fleet.all());
        startAll();
        for (int node = 0; node < NODES; node++) {
            assertAllRecorded(node);
        }
    }

    /** Streams begin before the second version is known: they are recorded nowhere until then. */
    @ParameterizedTest
    @ValueSource(ints = {0, DISKLESS})
    void streamsOfTheFirstVersionAreStoredWithTheSecond(int begunAt) {
        UpstreamRecord first = fleet.announce(0, "u1", "old");
        fleet.begin(begunAt, "r", first, 1);
        announce();
        fleet.advance(OriginFleet.SYNCED);
        fleet.losePower(fleet.all());
        startAll();
        assertThat(fleet.find(1, "r")).isEqualTo(recorded("old", 1));
    }

    /** A loss of power must lose only what was not synced, and a process that ends only what was not written. */
    @ParameterizedTest
    @CsvSource({"200, true, true", "60, true, false", "60, false, true", "0, false, false"})
    void whatWasNotStoredIsRefused(int millis, boolean losesPower, boolean found) {
        announce();
        fleet.begin(DISKLESS, "r", old, 1);
        fleet.advance(Duration.ofMillis(millis));
        if (losesPower) {
            fleet.losePower(fleet.all());
        } else {
            fleet.kill(fleet.all());
        }
        startAll();
        assertThat(fleet.find(1, "r")).isEqualTo(found ? recorded("old", 1) : UNKNOWN);
    }

    /** As many disks are lost as are tolerated, while all other nodes are killed: one copy of each record is left. */
    @ParameterizedTest
    @MethodSource("lostDisks")
    void streamsGoOnAfterTheLossOfDisks(int tolerated, List<Integer> lost) {
        fleet.close();
        fleet = new OriginFleet(DISKS, NODES - DISKS, tolerated);
        beginStreams(DISKLESS);
        fleet.advance(OriginFleet.SYNCED);
        fleet.losePower(fleet.all());
        lost.forEach(fleet::loseDisk);
        startAll();
        assertAllRecorded(1);
        assertAllRecorded(DISKLESS);
    }

    /** All other disks are lost: the node that relayed the streams must have kept them as well. */
    @Test
    void recordsAreOnTheDiskOfTheNodeThatRelays() {
        UpstreamRecord first = fleet.announce(0, "u1", "old");
        fleet.begin(0, "early", first, 1);
        beginStreams(0);
        fleet.advance(OriginFleet.SYNCED);
        fleet.losePower(fleet.all());
        for (int node = 1; node < DISKS; node++) {
            fleet.loseDisk(node);
        }
        startAll();
        assertAllRecorded(0);
        assertThat(fleet.find(0, "early")).isEqualTo(recorded("old", 1));
    }

    /** Holders come up later than the node at which a caller is back: it must wait for them rather than be refused. */
    @ParameterizedTest
    @ValueSource(ints = {0, DISKLESS})
    void streamsWaitForNodesThatComeUpLater(int takenUpAt) {
        beginStreams(DISKLESS);
        fleet.advance(OriginFleet.SYNCED);
        fleet.kill(fleet.all());
        fleet.start(takenUpAt);
        announce(takenUpAt);
        Map<String, AtomicReference<OriginResult>> results = new TreeMap<>();
        for (int i = 0; i < STREAMS; i++) {
            AtomicReference<OriginResult> result = new AtomicReference<>();
            results.put("r" + i, result);
            fleet.origins(takenUpAt).find(OriginFleet.key("r" + i), OriginFleet.POOL, result::set);
        }
        for (int node = NODES - 1; node >= 0; node--) {
            if (node != takenUpAt) {
                fleet.advance(Duration.ofMillis(250));
                fleet.start(node);
            }
        }
        fleet.advance(Duration.ofMillis(300));
        results.forEach((id, result) -> assertThat(result.get()).as(id).isEqualTo(recorded(version(id), 1)));
    }

    /** A caller comes back just before the holders are up: it must not wait for the whole interval of the repetition. */
    @Test
    void queryIsRepeatedAsSoonAsAHolderComesUp() {
        announce();
        fleet.begin(DISKLESS, "r", old, 1);
        fleet.advance(OriginFleet.SYNCED);
        fleet.kill(fleet.all());
        fleet.start(DISKLESS);
        announce(DISKLESS);
        assertThat(fleet.find(DISKLESS, "r", Duration.ofMillis(1))).isEmpty();
        for (int node = 0; node < DISKS; node++) {
            fleet.start(node);
        }
        fleet.advance(Duration.ofMillis(20));
        assertThat(fleet.origins(DISKLESS).counters().results()).containsOnly(Map.entry("recorded", 1L));
    }

    /** A seed that never comes back must delay a refusal for the first two seconds of a node only. */
    @Test
    void refusalWaitsForAMissingNodeForABoundedTime() {
        announce();
        fleet.kill(fleet.all());
        fleet.all().stream().filter(node -> node != 0).forEach(fleet::start);
        announce(1);
        assertThat(fleet.find(2, "r", Duration.ofMillis(1500))).isEmpty();
        fleet.advance(Duration.ofSeconds(1));
        assertThat(fleet.find(2, "r", Duration.ofMillis(10))).contains(UNKNOWN);
        assertThat(fleet.origins(2).counters().results()).containsEntry("unknown", 2L);
    }

    /** With all nodes connected, waiting can't help. */
    @Test
    void refusalIsImmediateOnceAllNodesAreBack() {
        announce();
        fleet.kill(fleet.all());
        startAll();
        assertThat(fleet.find(2, "r", Duration.ofMillis(10))).contains(UNKNOWN);
    }

    /** One node is not killed: those that were must find what it knows, and it what they have stored. */
    @ParameterizedTest
    @ValueSource(ints = {0, 3, DISKLESS})
    void streamsGoOnWhereOneNodeIsLeft(int left) {
        beginStreams(5);
        fleet.advance(OriginFleet.SYNCED);
        fleet.kill(fleet.all().stream().filter(node -> node != left).toList());
        startAll();
        for (int node = 0; node < NODES; node++) {
            assertAllRecorded(node);
        }
    }

    /** A node is suspended while all others are killed: it wakes with its memory and their former connections. */
    @ParameterizedTest
    @ValueSource(ints = {0, DISKLESS})
    void streamsGoOnAtANodeThatWakes(int suspended) {
        beginStreams(5);
        fleet.advance(OriginFleet.SYNCED);
        fleet.suspend(suspended);
        fleet.kill(fleet.all().stream().filter(node -> node != suspended).toList());
        fleet.all().stream().filter(node -> node != suspended).forEach(fleet::start);
        announce(1);
        fleet.connect(suspended);
        assertAllRecorded(suspended);
        assertAllRecorded(1);
    }

    /** A caller comes back at a node that has never run before, and is not connected yet. */
    @Test
    void streamsGoOnAtANewNode() {
        beginStreams(5);
        fleet.advance(OriginFleet.SYNCED);
        fleet.kill(fleet.all());
        startAll();
        assertAllRecorded(fleet.join());
    }

    /** A stream is taken up twice, with a start of all in between: its caller may name any of its ids. */
    @Test
    void streamThatIsTakenUpTwiceKeepsItsFirstName() {
        announce();
        fleet.begin(0, "r1", old, 1);
        for (String id : List.of("r2", "r3")) {
            fleet.advance(OriginFleet.SYNCED);
            fleet.losePower(fleet.all());
            startAll();
            assertThat(fleet.find(3, "r1")).isEqualTo(recorded("old", 1));
            fleet.begin(3, id, old, 1);
            fleet.begin(3, "r1", old, 1);
        }
        fleet.advance(OriginFleet.SYNCED);
        fleet.losePower(fleet.all());
        startAll();
        for (String id : List.of("r1", "r2", "r3")) {
            assertThat(fleet.find(DISKLESS, id)).isEqualTo(recorded("old", 1));
        }
    }

    /** A request moved to another version before its first event: the later record must win after reading as well. */
    @Test
    void laterRecordCountsAfterReading() {
        announce();
        fleet.begin(DISKLESS, "r", old, 1);
        fleet.begin(DISKLESS, "r", next, 2);
        fleet.begin(5, "r", old, 1);
        fleet.advance(OriginFleet.SYNCED);
        fleet.kill(fleet.all());
        startAll();
        for (int node = 0; node < NODES; node++) {
            assertThat(fleet.find(node, "r")).isEqualTo(recorded("new", 2));
        }
    }

    /** Records that were read expire like others, so that versions that have left are forgotten. */
    @Test
    void recordsThatWereReadExpire() {
        beginStreams(0);
        fleet.advance(OriginFleet.SYNCED);
        fleet.kill(fleet.all());
        startAll();
        fleet.advance(OriginFleet.LIFETIME.minusSeconds(1));
        assertThat(fleet.find(1, "r0", Duration.ofMillis(300))).contains(recorded("old", 1));
        fleet.advance(Duration.ofSeconds(2));
        announce(0);
        assertThat(fleet.find(1, "r0")).isEqualTo(UNKNOWN);
    }

    private void startAll() {
        fleet.startAll();
        announce(1);
    }

    private void announce() {
        announce(0);
    }

    private void announce(int node) {
        old = fleet.announce(node, "u1", "old");
        next = fleet.announce(node, "u2", "new");
    }

    private void beginStreams(int node) {
        announce();
        for (int i = 0; i < STREAMS; i++) {
            fleet.begin(node, "r" + i, i % 2 == 0 ? old : next, 1);
        }
    }

    private void assertAllRecorded(int node) {
        for (int i = 0; i < STREAMS; i++) {
            String id = "r" + i;
            assertThat(fleet.find(node, id, Duration.ofMillis(20)))
                    .as("%s at node %d", id, node)
                    .contains(recorded(version(id), 1));
        }
    }

    private static String version(String id) {
        return Integer.parseInt(id.substring(1)) % 2 == 0 ? "old" : "new";
    }

    private static OriginResult recorded(String software, long order) {
        return new OriginResult.Recorded(new StreamOrigin(SoftwareVersion.of(software), order));
    }
}
