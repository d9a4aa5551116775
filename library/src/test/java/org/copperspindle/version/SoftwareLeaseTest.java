package org.copperspindle.version;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

import org.copperspindle.route.RouteKind;
import org.copperspindle.route.RouteTableReader;
import org.copperspindle.route.RouteTableResult;
import org.copperspindle.route.TestRoutes;
import org.copperspindle.time.SuspensionDetector;
import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class SoftwareLeaseTest {

    private static final long MILLI = 1_000_000L;
    private static final RouteTableReader READER = text -> new RouteTableResult.Valid(TestRoutes.table(
            1, List.of(TestRoutes.route("r", "h", "/", RouteKind.STREAM, "p")), List.of(TestRoutes.pool("p"))));

    private final VirtualTimerService time = new VirtualTimerService();
    private final List<VersionLeaseRequestMessage> requests = new ArrayList<>();
    private final List<Boolean> confirmed = new ArrayList<>();
    private final VersionHolder holder = new VersionHolder(
            time,
            READER,
            Duration.ofMillis(3800),
            new SuspensionDetector(time::nanoTime, () -> time.nanoTime() / MILLI),
            requests::add);

    @BeforeEach
    void holdAVersion() {
        holder.receive(new VersionMessage(1, "1".getBytes(StandardCharsets.UTF_8)));
    }

    /** A node that serves without the newest list would begin streams at a version that is no longer in use. */
    @Test
    void leaseNeedsTheListThatTheLeaderNamed() {
        holder.requestLease();
        respond(last(), 9);
        assertThat(holder.inForce()).isEmpty();
        holder.receive(list(8, "a"));
        assertThat(holder.inForce()).isEmpty();
        holder.receive(list(9, "a", "b"));
        assertThat(holder.inForce()).isPresent();
        holder.requestLease();
        assertThat(requests.get(requests.size() - 1).software()).isEqualTo(9);
    }

    /** A delayed list arrives after its successor. */
    @ParameterizedTest
    @CsvSource({"8, a", "9, a", "10, b"})
    void neverReturnsToALowerRevision(long revision, String expected) {
        holder.receive(list(9, "a"));
        holder.receive(list(revision, "b"));
        assertThat(holder.software().versions("p")).containsExactly(expected);
    }

    /** A response that was under way may have been sent before a version was recorded that has begun streams since. */
    @Test
    void responseToAnEarlierRequestConfirmsNothing() {
        holder.requestLease();
        long earlier = last();
        confirm();
        respond(earlier, 0);
        time.advance(MILLI);
        assertThat(confirmed).isEmpty();
        respond(last(), 0);
        assertThat(last()).isGreaterThan(earlier);
        assertThat(confirmed).containsExactly(true);
    }

    /** The response is taken only with its list: what is concluded before would be from the list that was held. */
    @Test
    void confirmationWaitsForTheList() {
        confirm();
        time.advance(MILLI);
        respond(last(), 9);
        assertThat(confirmed).isEmpty();
        holder.receive(list(9, "a"));
        assertThat(confirmed).containsExactly(true);
    }

    /** No leader answers: the caller of each stream is told in time, and no other answer follows. */
    @Test
    void confirmationEndsWithoutALeader() {
        confirm();
        time.advance(249 * MILLI);
        assertThat(confirmed).isEmpty();
        time.advance(2 * MILLI);
        assertThat(confirmed).containsExactly(false);
        respond(last(), 0);
        assertThat(confirmed).containsExactly(false);
    }

    /** The callers of a lost node come back at the same moment: they must not flood the leader. */
    @Test
    void confirmationsOfOneMomentShareARequest() {
        for (int i = 0; i < 1000; i++) {
            confirm();
        }
        time.advance(MILLI);
        assertThat(requests).hasSize(1);
        for (int i = 0; i < 100; i++) {
            confirm();
            time.advance(MILLI);
        }
        assertThat(requests).hasSizeBetween(2, 4);
        respond(last(), 0);
        assertThat(confirmed).hasSizeBetween(1049, 1100).containsOnly(true);
    }

    /** The leader is of an older build, or becomes one: its responses name no list. */
    @ParameterizedTest
    @CsvSource({"9, true", "0, false"})
    void listIsKeptWhileTheLeaderNamesIt(long named, boolean kept) {
        assertThat(holder.isSoftwareKept()).isFalse();
        holder.receive(list(9, "a"));
        assertThat(holder.isSoftwareKept()).isTrue();
        holder.requestLease();
        respond(last(), named);
        assertThat(holder.isSoftwareKept()).isEqualTo(kept);
    }

    /** Nodes of two builds exchange leases during a rolling restart. */
    @Test
    void messagesOfAnOlderBuildAreRead() throws MalformedFrameException {
        byte[] request = OldLease.codec(211).encode(new OldLease(5, 1, 2));
        byte[] response = OldLease.codec(212).encode(new OldLease(5, 1, 2));
        assertThat(VersionLeaseRequestMessage.CODEC.decode(request).readsSoftware())
                .isFalse();
        assertThat(VersionLeaseResponseMessage.CODEC.decode(response))
                .isEqualTo(new VersionLeaseResponseMessage(5, 1, 2, 0));
        VersionLeaseRequestMessage own = new VersionLeaseRequestMessage(5, 1, 2, 0);
        byte[] sent = VersionLeaseRequestMessage.CODEC.encode(own);
        assertThat(VersionLeaseRequestMessage.CODEC.decode(sent).readsSoftware())
                .isTrue();
        assertThat(OldLease.codec(211).decode(sent)).isEqualTo(new OldLease(5, 1, 2));
    }

    private void confirm() {
        holder.confirm(confirmed::add);
    }

    private long last() {
        return requests.get(requests.size() - 1).sequence();
    }

    private void respond(long request, long software) {
        holder.receive(new VersionLeaseResponseMessage(request, 1, 0, software));
    }

    private static SoftwareInUseMessage list(long revision, String... versions) {
        TreeMap<String, List<String>> byPool = new TreeMap<>();
        byPool.put("p", List.of(versions));
        return new SoftwareInUseMessage(revision, byPool);
    }

    /** A lease request or response as builds without software versions write and read it. */
    private record OldLease(long sequence, long version, long revision) implements WireMessage {

        private static MessageCodec<OldLease> codec(int type) {
            return MessageCodec.of(type, OldLease.class, OldLease::write, OldLease::read);
        }

        private void write(FieldWriter out) {
            out.put(1, sequence).put(2, version).put(3, revision);
        }

        private static OldLease read(FieldReader in) {
            return new OldLease(in.getLong(1, 0), in.getLong(2, 0), in.getLong(3, 0));
        }
    }
}
