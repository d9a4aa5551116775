package org.copperspindle.quarantine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.WireTransport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class SuspicionTest {

    private static final SuspectDigest DIGEST = new SuspectDigest("00ff");

    /**
     * Nodes may receive the same terminations in another order, repeatedly, or through a third node. If they came to
     * different levels, one node would quarantine a request that another one sends on.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void orderAndRepetitionDoNotMatter(long seed) {
        Random random = new Random(seed);
        List<Suspicion> received = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            received.add(of(random.nextInt(2), random.nextInt(8), "u" + random.nextInt(4)));
        }
        Suspicion first = received.stream().reduce(Suspicion::merge).orElseThrow();
        for (int i = 0; i < 50; i++) {
            received.add(received.get(random.nextInt(received.size())));
            Collections.shuffle(received, random);
            Suspicion other = received.stream().reduce(Suspicion::merge).orElseThrow();
            assertThat(other.epoch()).isEqualTo(first.epoch());
            assertThat(other.level()).isEqualTo(first.level());
            assertThat(other.upstreams()).containsExactlyInAnyOrderElementsOf(first.upstreams());
        }
    }

    @Test
    void isEncodedAndDecoded() throws MalformedFrameException {
        MessageRegistry registry = WireTransport.registry().register(SuspicionMessage.CODEC);
        SuspicionMessage message = new SuspicionMessage(List.of(
                new Suspicion(DIGEST, "p", 3, 4, evidence("a", "b"), "r", "t", 5),
                of(0, 2, "u").cleared()));
        assertThat(registry.decode(registry.encode(message))).contains(message);
    }

    /** Consecutive terminations; the quarantine after the last one in seconds. */
    @ParameterizedTest
    @CsvSource({"0, 0", "2, 0", "5, 0", "6, 60", "7, 60", "8, 120", "10, 240", "16, 1920", "18, 3600"})
    void quarantineGrowsWithEachTermination(int level, long seconds) {
        assertThat(QuarantinePolicy.quarantineNanos(level)).isEqualTo(seconds * 1_000_000_000L);
    }

    /**
     * A node of another build may send a level that this one does not know; shifted by it, the quarantine time would
     * be arbitrary.
     */
    @ParameterizedTest
    @CsvSource({"-5, 0", "1000, 18"})
    void levelsOfOtherBuildsAreBounded(int sent, int kept) {
        assertThat(of(0, sent, "u").level()).isEqualTo(kept);
    }

    private static Suspicion of(long epoch, int level, String upstream) {
        return new Suspicion(DIGEST, "", epoch, level, evidence(upstream), "r", "t", 0);
    }

    private static TerminationEvidence evidence(String... upstreams) {
        return new TerminationEvidence(List.of(upstreams), List.of("r0"), List.of("v1"), List.of());
    }
}
