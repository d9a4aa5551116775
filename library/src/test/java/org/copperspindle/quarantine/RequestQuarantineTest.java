package org.copperspindle.quarantine;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;

import org.copperspindle.discovery.UpstreamPhase;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which requests are held off, and which never, while upstreams end for this and that reason.
 */
class RequestQuarantineTest {

    private static final int NODES = 5;
    private static final int ENDS = 3;
    private static final TrackedRequest GUILTY = QuarantineFleet.request("guilty");
    private static final TrackedRequest POPULAR = QuarantineFleet.request("popular");

    private final QuarantineFleet fleet = new QuarantineFleet(NODES);

    @AfterEach
    void close() {
        fleet.close();
    }

    /**
     * A caller sends a request again and again, which ends each upstream that runs it. It comes to one node or to all in turn; after
     * the third end no node sends it on.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, NODES})
    void heldOffEverywhereAfterThreeEnds(int nodes) {
        for (int i = 0; i < 20; i++) {
            assertThat(fleet.endsOne(i % nodes, GUILTY)).isEqualTo(i < ENDS);
        }
        assertThat(fleet.isHeldEverywhere(GUILTY)).isTrue();
        assertThat(fleet.quarantine(NODES - 1).quarantined()).singleElement().satisfies(held -> {
            assertThat(held.digest()).isEqualTo(GUILTY.digest().text());
            assertThat(held.upstreams()).containsExactlyInAnyOrder("u0", "u1", "u2");
            assertThat(held.account()).isEqualTo("t");
            assertThat(held.remainingMillis()).isPositive();
        });
    }

    /**
     * The first attempt of a caller may be repeated at another upstream at once, before it is known that the first one ended. Each
     * end counts nevertheless, so that one caller's attempts end three upstreams and not six.
     */
    @Test
    void repeatsInOneAttemptCountOneByOne() {
        Optional<UpstreamRun> previous = Optional.empty();
        for (int i = 0; i < ENDS; i++) {
            int upstream = fleet.addUpstream();
            UpstreamRun run = fleet.send(0, GUILTY, upstream, previous);
            fleet.settle();
            fleet.end(upstream, Map.of(run, 0));
            previous = Optional.of(run);
        }
        fleet.settle();
        assertThat(fleet.isHeldEverywhere(GUILTY)).isTrue();
    }

    /**
     * Others ran beside the guilty request each time, and their connections ended with its own. Each is another request, and runs
     * elsewhere; none is taken for the guilty one.
     */
    @Test
    void neighboursAreNotHeldOff() {
        for (int i = 0; i < ENDS; i++) {
            int upstream = fleet.addUpstream();
            Map<UpstreamRun, Integer> runs = new HashMap<>();
            runs.put(fleet.send(i, GUILTY, upstream), i);
            for (int neighbour = 0; neighbour < 30; neighbour++) {
                int node = neighbour % NODES;
                TrackedRequest request = QuarantineFleet.request("neighbour-" + i + '-' + neighbour);
                runs.put(fleet.send(node, request, upstream), node);
                fleet.serve(node, QuarantineFleet.request("served-" + i + '-' + neighbour));
            }
            fleet.end(upstream, runs);
            fleet.settle();
        }
        assertThat(fleet.quarantine(0).quarantined())
                .extracting(QuarantinedRequest::digest)
                .containsExactly(GUILTY.digest().text());
    }

    /**
     * A failure domain loses its upstreams while a popular request runs at all of them, sent by all nodes. It was at every upstream
     * that ended, and is not to blame: none of these runs was sent in knowledge of another end.
     */
    @Test
    void popularRequestIsServedOnWhenManyUpstreamsEndAtOnce() {
        Map<Integer, Map<UpstreamRun, Integer>> runs = new HashMap<>();
        for (int i = 0; i < 12; i++) {
            int node = i % NODES;
            int upstream = fleet.addUpstream();
            runs.put(upstream, Map.of(fleet.send(node, POPULAR, upstream), node));
        }
        runs.forEach(fleet::end);
        fleet.settle();
        assertThat(fleet.isHeldAnywhere(POPULAR)).isFalse();
    }

    /** Upstreams are replaced one after the other without a word while a popular request runs; others outlive it in between. */
    @Test
    void requestThatAnUpstreamOutlivesStartsAnewEverywhere() {
        for (int i = 0; i < 20; i++) {
            assertThat(fleet.endsOne(i % NODES, POPULAR)).isTrue();
            if (i % 2 == 1) {
                fleet.serve((i + 2) % NODES, POPULAR);
                fleet.settle();
            }
        }
        assertThat(fleet.isHeldAnywhere(POPULAR)).isFalse();
    }

    /**
     * A broken release ends with any request. A popular request ends as many upstreams as others do, and twice the evidence is asked
     * for before it is held off; with the release mended in time, nothing is.
     */
    @Test
    void whereEverythingEndsUpstreamsMoreEvidenceIsAskedFor() {
        for (int i = 0; i < ENDS; i++) {
            fleet.endsOne(0, QuarantineFleet.request("other-" + i));
        }
        for (int i = 0; i < 2 * ENDS - 1; i++) {
            fleet.endsOne(0, QuarantineFleet.request("another-" + i));
            assertThat(fleet.endsOne(0, POPULAR)).isTrue();
        }
        assertThat(fleet.isHeldAnywhere(POPULAR)).isFalse();
        fleet.endsOne(0, POPULAR);
        assertThat(fleet.isHeldEverywhere(POPULAR)).isTrue();
    }

    /**
     * Two of three upstreams ended under a guilty request, and other nodes know. A popular request is still sent there, on connections
     * that were kept from before, and loses them; it ran nowhere, and is not to blame. It was held off in half a second:
     * event=request-held-off level=6 upstreams=[u1, u3], with upstream u1 counted twice.
     */
    @Test
    void requestsSentToUpstreamsThatHadEndedAreNotToBlame() {
        int first = fleet.addUpstream();
        int second = fleet.addUpstream();
        fleet.end(first, Map.of(fleet.send(0, GUILTY, first), 0));
        fleet.settle();
        fleet.end(second, Map.of(fleet.send(1, GUILTY, second), 1));
        fleet.settle();
        for (int i = 0; i < 2 * ENDS; i++) {
            int node = i % NODES;
            UpstreamRun run = fleet.send(node, POPULAR, i % 2 == 0 ? first : second);
            fleet.breakOff(Map.of(run, node));
            fleet.settle();
        }
        assertThat(fleet.quarantine(0).trackedRequests()).isEqualTo(1);
    }

    /**
     * A node that is cut off does not hear that upstreams have ended, and sends them a popular request on connections kept from before. It
     * loses one after the other, without a byte, though the request ran nowhere. That may be the first end of a guilty request, but is
     * never the next. It was held off there:
     * event=attempt-failed reason=connect-failed took_ms=2, three times, event=request-held-off level=6 upstreams=[u1, u3, u2].
     */
    @Test
    void keptConnectionsRaiseNoSuspicionAnyFurther() {
        for (int i = 0; i < 2 * ENDS; i++) {
            int upstream = fleet.addUpstream();
            UpstreamRun run = fleet.send(0, POPULAR, upstream);
            fleet.endUnseen(upstream, Map.of(run, 0));
            fleet.settle();
        }
        assertThat(fleet.quarantine(0).isSuspected(POPULAR)).isTrue();
        assertThat(fleet.isHeldAnywhere(POPULAR)).isFalse();
    }

    /** The same upstream ends under two runs of a popular request, of which one was sent in knowledge of an end before. It is one end. */
    @Test
    void oneUpstreamCountsOnceForARequest() {
        fleet.endsOne(0, POPULAR);
        int upstream = fleet.addUpstream();
        UpstreamRun early = fleet.send(0, POPULAR, upstream);
        fleet.end(upstream, Map.of(early, 0));
        fleet.settle();
        UpstreamRun late = fleet.send(1, POPULAR, upstream);
        fleet.settle();
        fleet.breakOff(Map.of(late, 1));
        fleet.settle();
        assertThat(fleet.isHeldAnywhere(POPULAR)).isFalse();
    }

    /** An upstream starts again under the id that it had, and ends once more under the same request: these are two ends. */
    @Test
    void laterLivesUnderOneIdCountOneByOne() {
        for (int life = 1; life <= ENDS; life++) {
            fleet.announce(0, "u", life, UpstreamPhase.READY);
            fleet.end(0, Map.of(fleet.send(life, GUILTY, 0), life));
            fleet.settle();
        }
        assertThat(fleet.isHeldEverywhere(GUILTY)).isTrue();
    }

    /** The same, where upstreams start again under the id that they had: each of their lives ended. */
    @Test
    void endsOfLaterLivesUnderOneIdAreOthersToo() {
        fleet.serve(0, QuarantineFleet.request("served"));
        fleet.serve(0, QuarantineFleet.request("served-too"));
        for (int life = 1; life <= 2 * ENDS; life++) {
            fleet.announce(0, "u", life, UpstreamPhase.READY);
            fleet.end(0, Map.of(fleet.send(0, QuarantineFleet.request("other-" + life), 0), 0));
            fleet.settle();
        }
        for (int i = 0; i < ENDS; i++) {
            assertThat(fleet.endsOne(0, POPULAR)).isTrue();
        }
        assertThat(fleet.isHeldAnywhere(POPULAR)).isFalse();
    }

    /** Two guilty requests at once, beside others that are served, are each held off after three ends. */
    @Test
    void twoGuiltyRequestsAtOnce() {
        TrackedRequest second = QuarantineFleet.request("second");
        int ended = 0;
        for (int i = 0; i < 20; i++) {
            for (int k = 0; k < 5; k++) {
                fleet.serve(i % NODES, QuarantineFleet.request("served-" + i + k));
            }
            ended += fleet.endsOne(i % NODES, i % 2 == 0 ? GUILTY : second) ? 1 : 0;
        }
        assertThat(ended).isEqualTo(2 * ENDS);
    }

    /** A connection is lost, but its upstream is there, drains, has left, or can't be asked: nobody is suspected. */
    @ParameterizedTest
    @CsvSource({"READY, false", "READY, true", "DRAINING, false", "GONE, false"})
    void lostConnectionsAloneProveNothing(UpstreamPhase phase, boolean silent) {
        for (int i = 0; i < 3 * ENDS; i++) {
            int upstream = fleet.addUpstream();
            UpstreamRun run = fleet.send(0, GUILTY, upstream);
            fleet.announce(upstream, "u" + upstream, phase);
            if (silent) {
                fleet.silence(upstream);
            }
            fleet.breakOff(Map.of(run, 0));
            fleet.advance(Duration.ofSeconds(12));
        }
        assertThat(fleet.quarantine(0).trackedRequests()).isZero();
    }

    /**
     * An upstream is started again before this node looks: something listens at its address. Its next life, under a new id, shows
     * that the former one ended.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void nextLifeAtTheAddressShowsThatTheFormerOneEnded(boolean heardBefore) {
        for (int i = 0; i < ENDS; i++) {
            int upstream = fleet.addUpstream();
            UpstreamRun run = fleet.send(0, GUILTY, upstream);
            if (heardBefore) {
                fleet.announce(upstream, "next-" + i, UpstreamPhase.READY);
                fleet.breakOff(Map.of(run, 0));
            } else {
                fleet.breakOff(Map.of(run, 0));
                fleet.advance(Duration.ofSeconds(4));
                fleet.announce(upstream, "next-" + i, UpstreamPhase.READY);
            }
            fleet.settle();
        }
        assertThat(fleet.isHeldEverywhere(GUILTY)).isTrue();
    }

    /**
     * The third upstream ends under a request at a node that is cut off from another one. A node that both reach passes it on; if none
     * does, the other node hears of it as soon as they are connected again.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void nodesThatAreCutOffHearOfIt(boolean reachedByOthers) {
        fleet.endsOne(0, GUILTY);
        fleet.endsOne(1, GUILTY);
        for (int other = 1; other < (reachedByOthers ? 2 : NODES); other++) {
            fleet.cut(0, other);
        }
        fleet.endsOne(0, GUILTY);
        assertThat(fleet.quarantine(1).isQuarantined(GUILTY)).isEqualTo(reachedByOthers);
        for (int other = 1; other < (reachedByOthers ? 2 : NODES); other++) {
            fleet.join(0, other);
        }
        assertThat(fleet.isHeldEverywhere(GUILTY)).isTrue();
    }

    /** A node hears of a clearance only after a cut has healed; what it thought until then doesn't come back to the others. */
    @Test
    void oldSuspicionsDoNotReturnWithANodeThatWasCutOff() {
        for (int i = 0; i < ENDS; i++) {
            fleet.endsOne(0, POPULAR);
        }
        IntStream.range(1, NODES).forEach(other -> fleet.cut(0, other));
        assertThat(fleet.quarantine(1).lift(POPULAR.digest())).isTrue();
        fleet.settle();
        IntStream.range(1, NODES).forEach(other -> fleet.join(0, other));
        assertThat(fleet.isHeldAnywhere(POPULAR)).isFalse();
    }

    @Test
    void nodeThatHasJustStartedLearnsWhatOthersKnow() {
        for (int i = 0; i < ENDS; i++) {
            fleet.endsOne(i, GUILTY);
        }
        fleet.restart(List.of(0));
        assertThat(fleet.quarantine(0).isQuarantined(GUILTY)).isTrue();
    }

    /** All nodes are killed at once and remember nothing: three more upstreams end, as at first. */
    @Test
    void afterAStartOfAllNodesTheBoundHoldsAgain() {
        for (int i = 0; i < ENDS; i++) {
            fleet.endsOne(i, GUILTY);
        }
        fleet.restart(IntStream.range(0, NODES).boxed().toList());
        for (int i = 0; i < 20; i++) {
            fleet.endsOne(i % NODES, GUILTY);
        }
        assertThat(fleet.ended()).isEqualTo(2 * ENDS);
    }

    /**
     * Two nodes dialled each other at the same moment and have two connections. The newer one is reset just as the third end is told
     * on it; the nodes stay connected, so that nothing else would make one tell the other again.
     */
    @Test
    void whatIsLostWithOneOfTwoConnectionsIsToldAgain() {
        fleet.endsOne(0, GUILTY);
        fleet.endsOne(0, GUILTY);
        fleet.connectAgain(0, 1);
        int upstream = fleet.addUpstream();
        fleet.end(upstream, Map.of(fleet.send(0, GUILTY, upstream), 0));
        fleet.advance(Duration.ofMillis(2));
        fleet.resetNewest(0, 1);
        assertThat(fleet.quarantine(1).isQuarantined(GUILTY)).isTrue();
    }

    /**
     * A hold ends after a minute, in case it was wrong. If the request ends one more upstream then, it is held off for twice as long, so
     * that a guilty request that comes all day ends few.
     */
    @Test
    void holdsEndAndDouble() {
        for (int i = 0; i < ENDS; i++) {
            fleet.endsOne(i, GUILTY);
        }
        for (int second = 0; second < Duration.ofHours(24).toSeconds(); second += 2) {
            fleet.advance(Duration.ofSeconds(2));
            fleet.endsOne(second % NODES, GUILTY);
        }
        assertThat(fleet.ended()).isBetween(ENDS + 6, ENDS + 6 + 24);
    }

    /** A request that is held off and then outlived, as after a mended release, starts anew. */
    @Test
    void heldRequestThatIsServedAfterItsHoldIsCleared() {
        for (int i = 0; i < ENDS; i++) {
            fleet.endsOne(i, POPULAR);
        }
        fleet.advance(Duration.ofSeconds(61));
        assertThat(fleet.isHeldAnywhere(POPULAR)).isFalse();
        fleet.serve(2, POPULAR);
        fleet.settle();
        assertThat(fleet.endsOne(0, POPULAR)).isTrue();
        assertThat(fleet.endsOne(1, POPULAR)).isTrue();
        assertThat(fleet.isHeldAnywhere(POPULAR)).isFalse();
    }

    /** Somebody has thousands of different requests run at upstreams that end, to push a request that is held off out of memory. */
    @Test
    void memoryIsBoundedAndKeepsWhatIsHeldOff() {
        for (int i = 0; i < ENDS; i++) {
            fleet.endsOne(0, GUILTY);
        }
        for (int end = 0; end < 50; end++) {
            int upstream = fleet.addUpstream();
            Map<UpstreamRun, Integer> runs = new HashMap<>();
            for (int i = 0; i < 100; i++) {
                runs.put(fleet.send(0, QuarantineFleet.request(end + "-" + i), upstream), 0);
            }
            fleet.end(upstream, runs);
            fleet.settle();
        }
        for (int node = 0; node < NODES; node++) {
            assertThat(fleet.quarantine(node).trackedRequests()).isLessThanOrEqualTo(SuspicionTable.MAX_REQUESTS);
        }
        assertThat(fleet.isHeldEverywhere(GUILTY)).isTrue();
        fleet.advance(Duration.ofMinutes(15));
        assertThat(fleet.quarantine(0).trackedRequests()).isZero();
    }

    /** A suspected request may go to another upstream only once it is known whether it ended this one; others need not wait. */
    @Test
    void repeatOfASuspectedRequestWaitsForTheCheck() {
        fleet.endsOne(0, GUILTY);
        int upstream = fleet.addUpstream();
        boolean[] told = new boolean[1];
        UpstreamRun run = fleet.send(1, GUILTY, upstream);
        fleet.quarantine(1).onConnectionFailure(run, true, () -> told[0] = true);
        assertThat(told[0]).isFalse();
        fleet.settle();
        assertThat(told[0]).isTrue();
        told[0] = false;
        fleet.quarantine(1).onConnectionFailure(fleet.send(1, POPULAR, upstream), true, () -> told[0] = true);
        assertThat(told[0]).isTrue();
    }

    /**
     * Two guilty requests, a popular one and thousands of others over a minute, at nodes that are cut off from each other and restarted,
     * before upstreams that also end by themselves. No guilty request ends more than its bound, no other is held off once
     * the popular one has been served again, and all nodes think the same in the end.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void boundsHoldUnderDisturbances(long seed) {
        Random random = new Random(seed);
        List<TrackedRequest> guilty = List.of(GUILTY, QuarantineFleet.request("second"));
        int[] ends = new int[guilty.size()];
        for (int step = 0; step < 600; step++) {
            fleet.advance(Duration.ofMillis(80));
            int node = random.nextInt(NODES);
            switch (random.nextInt(10)) {
                case 0 -> fleet.cut(0, 1 + random.nextInt(NODES - 1));
                case 1 -> IntStream.range(1, NODES).forEach(other -> fleet.join(0, other));
                case 2 -> {
                    int which = random.nextInt(guilty.size());
                    ends[which] += fleet.endsOne(node, guilty.get(which)) ? 1 : 0;
                }
                case 3 -> {
                    int upstream = fleet.addUpstream();
                    TrackedRequest bystander = QuarantineFleet.request("bystander-" + step);
                    fleet.end(
                            upstream,
                            Map.of(fleet.send(node, bystander, upstream), node, fleet.send(0, POPULAR, upstream), 0));
                }
                default -> {
                    fleet.serve(node, POPULAR);
                    fleet.serve(node, QuarantineFleet.request("served-" + step));
                }
            }
        }
        IntStream.range(1, NODES).forEach(other -> fleet.join(0, other));
        fleet.serve(0, POPULAR);
        fleet.settle();
        for (int which = 0; which < ends.length; which++) {
            assertThat(ends[which]).as("ends of " + which).isLessThanOrEqualTo(2 * ENDS);
        }
        for (int node = 0; node < NODES; node++) {
            assertThat(fleet.quarantine(node).quarantined())
                    .extracting(QuarantinedRequest::digest)
                    .as("held off at " + node)
                    .containsExactlyInAnyOrderElementsOf(
                            guilty.stream().map(each -> each.digest().text()).toList());
        }
    }
}
