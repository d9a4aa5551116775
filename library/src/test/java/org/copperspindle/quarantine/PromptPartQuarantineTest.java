package org.copperspindle.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which parts of prompts are quarantined, and which are not, when upstreams terminate under requests of which no two are
 * alike.
 */
class PromptPartQuarantineTest {

    private static final int NODES = 5;
    private static final int MAX_TERMINATIONS = 3;

    /** Terminations in any order before the part must be known everywhere. */
    private static final int MAX_UNORDERED_TERMINATIONS = 5;

    private static final String FIRST = "head";
    private static final String FATAL = "fatal";
    private static final String SHARED = "tail";

    private final QuarantineFleet fleet = new QuarantineFleet(NODES);
    private int requests;

    @AfterEach
    void close() {
        fleet.close();
    }

    /** Guards against a part that terminates one upstream after the other because each request with it is a new one. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, NODES})
    void partIsQuarantinedEverywhereAfterThreeTerminations(int nodes) {
        for (int i = 0; i < 20; i++) {
            assertThat(fleet.terminatesUpstream(i % nodes, fatal())).isEqualTo(i < MAX_TERMINATIONS);
            fleet.serve(i % nodes, sound());
            fleet.awaitDelivery();
        }
        assertThat(quarantinedParts(NODES - 1)).containsExactly(FATAL);
        assertThat(fleet.isQuarantinedEverywhere(fatal())).isTrue();
        assertThat(fleet.isQuarantinedAnywhere(sound())).isFalse();
    }

    /** Guards against counting the end of each prompt, which belongs to one request or its session, or a lone part. */
    @Test
    void requestsWithoutSharedPartsAreTrackedAsAWhole() {
        for (int i = 0; i < 2 * MAX_TERMINATIONS; i++) {
            assertThat(fleet.terminatesUpstream(0, request())).isTrue();
        }
        assertThat(quarantinedParts(0)).isEmpty();
    }

    /** Guards against blaming the part of a request that crashes upstreams by itself, however often it is tried again. */
    @Test
    void partOfOneHarmfulRequestIsNotQuarantined() {
        TrackedRequest harmful = request("rare");
        for (int second = 0; second < 1000; second++) {
            fleet.terminatesUpstream(second % NODES, harmful);
            fleet.advance(Duration.ofSeconds(1));
        }
        assertThat(fleet.terminated()).isGreaterThan(QuarantinePolicy.QUARANTINE_LEVEL);
        assertThat(fleet.isQuarantinedAnywhere(request("rare"))).isFalse();
    }

    /** Guards against blaming all parts that two harmful ones have in common when both come at the same time. */
    @Test
    void twoFatalPartsAtOnceAreQuarantinedEach() {
        int terminated = 0;
        for (int i = 0; i < 30; i++) {
            for (int k = 0; k < 3; k++) {
                fleet.serve(i % NODES, sound());
            }
            fleet.awaitDelivery();
            String part = i % 2 == 0 ? FATAL : "second";
            terminated += fleet.terminatesUpstream(i % NODES, request(FIRST, part, SHARED)) ? 1 : 0;
        }
        assertThat(terminated).isEqualTo(2 * MAX_TERMINATIONS);
        assertThat(quarantinedParts(0)).containsExactlyInAnyOrder(FATAL, "second");
    }

    /**
     * Guards against the quarantine of the first part of an account's prompts: no request with it happens to complete
     * between three terminations, but such requests completed before, which none with the fatal part ever did.
     */
    @Test
    void partThatWasAnsweredBeforeIsNotQuarantinedWithTheFatalOne() {
        IntStream.range(0, NODES).forEach(node -> fleet.serve(node, sound()));
        for (int i = 0; i < MAX_TERMINATIONS; i++) {
            fleet.terminatesUpstream(i, fatal());
        }
        assertThat(quarantinedParts(0)).containsExactly(FATAL);
        assertThat(fleet.isQuarantinedAnywhere(sound())).isFalse();
    }

    /**
     * Guards against the quarantine of a part that only other nodes have seen answered than those at which upstreams
     * terminated, as in a large fleet.
     */
    @Test
    void answersSeenByAnotherNodeProtectAPart() {
        fleet.serve(NODES - 1, sound());
        for (int i = 0; i < MAX_TERMINATIONS; i++) {
            fleet.terminatesUpstream(i, fatal());
        }
        for (int node = 0; node < NODES; node++) {
            assertThat(quarantinedParts(node)).containsExactly(FATAL);
        }
        assertThat(fleet.isQuarantinedAnywhere(sound())).isFalse();
    }

    /** A part that becomes fatal though requests with it were completed before needs twice the evidence. */
    @Test
    void partThatWasAnsweredBeforeIsQuarantinedInTheEnd() {
        IntStream.range(0, NODES).forEach(node -> fleet.serve(node, fatal()));
        int terminated = 0;
        for (int i = 0; i < 20; i++) {
            terminated += fleet.terminatesUpstream(i % NODES, fatal()) ? 1 : 0;
        }
        assertThat(terminated).isEqualTo(2 * MAX_TERMINATIONS);
    }

    /**
     * Guards against the quarantine of a shared part because a failure domain with many requests is lost; nodes notice it
     * at one upstream after the other.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 20, 100})
    void partIsNotQuarantinedWhenManyUpstreamsTerminateAtOnce(long millisApart) {
        Map<Integer, Map<UpstreamRun, Integer>> runs = new HashMap<>();
        for (int i = 0; i < 12; i++) {
            int upstream = fleet.addUpstream();
            runs.put(upstream, Map.of(fleet.send(i % NODES, sound(), upstream), i % NODES));
        }
        runs.forEach((upstream, lost) -> {
            fleet.terminate(upstream, lost);
            fleet.advance(Duration.ofMillis(millisApart));
        });
        fleet.awaitDelivery();
        assertThat(fleet.isQuarantinedAnywhere(sound())).isFalse();
    }

    /**
     * Guards against runs that were sent before the first termination and start late, at upstreams with long queues: none
     * was sent in knowledge of another, so that consecutive terminations alone would count one.
     */
    @Test
    void terminationsApartFromEachOtherAddUp() {
        List<Integer> upstreams = new ArrayList<>();
        List<UpstreamRun> runs = new ArrayList<>();
        for (int i = 0; i < MAX_UNORDERED_TERMINATIONS; i++) {
            upstreams.add(fleet.addUpstream());
            runs.add(fleet.send(i, fatal(), upstreams.get(i)));
        }
        for (int i = 0; i < MAX_UNORDERED_TERMINATIONS; i++) {
            fleet.advance(Duration.ofMillis(300));
            fleet.terminate(upstreams.get(i), Map.of(runs.get(i), i));
            fleet.awaitDelivery();
        }
        assertThat(fleet.isQuarantinedEverywhere(fatal())).isTrue();
    }

    /**
     * Guards against counting one upstream twice: another node notices its termination later, or a kept-alive connection to
     * it is lost without a byte long after.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void oneUpstreamCountsOnceForAPart(boolean wasAlive) {
        for (int i = 0; i < MAX_TERMINATIONS - 1; i++) {
            int upstream = fleet.addUpstream();
            UpstreamRun noticedAtOnce = fleet.send(0, fatal(), upstream);
            UpstreamRun noticedLater = fleet.send(1, fatal(), upstream);
            fleet.terminate(upstream, Map.of(noticedAtOnce, 0));
            fleet.advance(Duration.ofMillis(300));
            fleet.quarantine(1).onConnectionFailure(noticedLater, wasAlive, () -> {});
            fleet.advance(Duration.ofMillis(300));
        }
        assertThat(fleet.isQuarantinedAnywhere(fatal())).isFalse();
    }

    /** Guards against the quarantine of a part by kept-alive connections to upstreams that an isolated node takes for alive. */
    @Test
    void keptAliveConnectionsDoNotRaiseTheSuspicionOfAPart() {
        for (int i = 0; i < 2 * MAX_UNORDERED_TERMINATIONS; i++) {
            int upstream = fleet.addUpstream();
            fleet.terminateUnnoticed(upstream, Map.of(fleet.send(0, sound(), upstream), 0));
            fleet.advance(Duration.ofMillis(300));
        }
        assertThat(fleet.isQuarantinedAnywhere(sound())).isFalse();
    }

    /** Guards against a flood: requests with the part come at all nodes in the same moment, several times. */
    @Test
    void waveOfRequestsAtAllNodesIsStoppedAfterThreeGenerations() {
        int generations = 0;
        while (!fleet.isQuarantinedAnywhere(fatal())) {
            Map<Integer, Map<UpstreamRun, Integer>> wave = new HashMap<>();
            for (int node = 0; node < NODES; node++) {
                int upstream = fleet.addUpstream();
                wave.put(upstream, Map.of(fleet.send(node, fatal(), upstream), node));
            }
            wave.forEach(fleet::terminate);
            fleet.awaitDelivery();
            generations++;
        }
        assertThat(generations).isEqualTo(MAX_TERMINATIONS);
        assertThat(fleet.isQuarantinedEverywhere(fatal())).isTrue();
    }

    /**
     * A stream that was resumed at one terminated upstream after the other is not blamed for what a part explains, nor is a
     * part that it shares with another bystander.
     */
    @Test
    void resumedBystanderIsNotQuarantined() {
        TrackedRequest bystander = request("rare");
        Optional<UpstreamRun> previous = Optional.empty();
        for (int i = 0; i < MAX_TERMINATIONS; i++) {
            fleet.serve(0, sound());
            int upstream = fleet.addUpstream();
            UpstreamRun resumed = fleet.send(0, bystander, upstream, previous);
            Map<UpstreamRun, Integer> runs = new HashMap<>(Map.of(fleet.send(i, fatal(), upstream), i, resumed, 0));
            if (i == 0) {
                runs.put(fleet.send(1, request("rare"), upstream), 1);
            }
            fleet.terminate(upstream, runs);
            fleet.awaitDelivery();
            previous = Optional.of(resumed);
        }
        assertThat(quarantinedParts(0)).containsExactly(FATAL);
        assertThat(fleet.isQuarantinedAnywhere(bystander)).isFalse();
    }

    /**
     * Guards against trials of a part at all nodes when its quarantine ends, each of which would terminate an upstream:
     * the requests of a day terminate one upstream after each quarantine.
     */
    @Test
    void oneNodeTriesThePartAfterItsQuarantine() {
        quarantineFatalPart();
        int before = fleet.terminated();
        fleet.advance(Duration.ofSeconds(61));
        for (int second = 0; second < 60; second++) {
            List<Integer> sent = new ArrayList<>();
            Map<Integer, Map<UpstreamRun, Integer>> runs = new HashMap<>();
            for (int node = 0; node < NODES; node++) {
                if (!fleet.quarantine(node).isQuarantined(fatal())) {
                    int upstream = fleet.addUpstream();
                    runs.put(upstream, Map.of(fleet.send(node, fatal(), upstream), node));
                    sent.add(node);
                }
            }
            assertThat(sent).hasSizeLessThanOrEqualTo(1);
            runs.forEach(fleet::terminate);
            fleet.advance(Duration.ofSeconds(1));
        }
        assertThat(fleet.terminated() - before).isEqualTo(1);
    }

    /** A part that a trial shows to be harmless is free at all nodes. */
    @Test
    void answeredTrialClearsThePart() {
        quarantineFatalPart();
        fleet.advance(Duration.ofSeconds(61));
        int node = IntStream.range(0, NODES)
                .filter(each -> !fleet.quarantine(each).isQuarantined(fatal()))
                .findFirst()
                .orElseThrow();
        fleet.serve(node, fatal());
        fleet.awaitDelivery();
        assertThat(fleet.isQuarantinedAnywhere(fatal())).isFalse();
    }

    /**
     * A part crashes one software version of a pool only. It is refused there and served elsewhere; a version that is not
     * known to survive it gets one request.
     */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void otherSoftwareVersionIsTriedOnce(boolean survives) {
        for (int i = 0; i < MAX_TERMINATIONS; i++) {
            fleet.terminatesUpstream(i, fatal(), "v1");
        }
        int other = fleet.addUpstream("v2");
        List<Integer> trying = IntStream.range(0, NODES)
                .filter(node -> fleet.permits(node, fatal(), other))
                .boxed()
                .toList();
        assertThat(trying).hasSize(1);
        int node = trying.get(0);
        UpstreamRun trial = fleet.send(node, fatal(), other);
        assertThat(fleet.quarantine(node).mustTakeBack(trial.request(), trial.upstream()))
                .as("the trial")
                .isFalse();
        assertThat(fleet.permits(node, fatal(), other)).as("a second one").isFalse();
        if (survives) {
            fleet.quarantine(node).onSurvived(trial, RunOutcome.ANSWERED);
        } else {
            fleet.terminate(other, Map.of(trial, node));
        }
        fleet.awaitDelivery();
        int next = fleet.addUpstream("v2");
        int old = fleet.addUpstream("v1");
        for (int each = 0; each < NODES; each++) {
            assertThat(fleet.permits(each, fatal(), next)).isEqualTo(survives);
            assertThat(fleet.permits(each, fatal(), old)).isFalse();
        }
    }

    /**
     * A refusal or failure of an upstream may come before it worked on the prompt, and an answer that ended with its
     * connection may have been cut off by the crash: neither clears a part.
     */
    @ParameterizedTest
    @CsvSource({"ANSWERED, true, true", "FAILED, true, false", "ENDED_WITH_CONNECTION, true, true"})
    void onlyAProvenAnswerClearsAPart(RunOutcome outcome, boolean listens, boolean clears) {
        fleet.terminatesUpstream(0, fatal());
        int upstream = fleet.addUpstream();
        TrackedRequest request = fatal();
        fleet.quarantine(1).onSurvived(fleet.send(1, request, upstream), outcome);
        fleet.awaitDelivery();
        assertThat(fleet.quarantine(0).isSuspected(request)).isEqualTo(!clears);
    }

    /** An upstream crashes at the end of an event: the answer looks whole, but the part has crashed one more upstream. */
    @Test
    void answerThatEndedWithACrashDoesNotClearAPart() {
        fleet.terminatesUpstream(0, fatal());
        int upstream = fleet.addUpstream();
        UpstreamRun run = fleet.send(1, fatal(), upstream);
        fleet.terminate(upstream, Map.of());
        fleet.quarantine(1).onSurvived(run, RunOutcome.ENDED_WITH_CONNECTION);
        fleet.awaitDelivery();
        assertThat(fleet.quarantine(0).isSuspected(fatal())).isTrue();
    }

    /** Guards against the growth of the table by prompts with hundreds of parts, repeated ones among them. */
    @Test
    void promptsWithHundredsOfPartsAddABoundedNumber() {
        String[] parts = IntStream.range(0, 600).mapToObj(i -> "p" + i / 2).toArray(String[]::new);
        fleet.terminatesUpstream(0, request(parts));
        assertThat(fleet.quarantine(NODES - 1).trackedSuspicions()).isEqualTo(1 + TrackedRequest.MAX_PARTS);
    }

    /** A node that starts, and one that was partitioned, learn the part before they send a request with it. */
    @Test
    void startedAndPartitionedNodesLearnThePart() {
        IntStream.range(0, NODES - 1).forEach(other -> fleet.partition(NODES - 1, other));
        quarantineFatalPart();
        IntStream.range(0, NODES - 1).forEach(other -> fleet.heal(NODES - 1, other));
        fleet.restart(List.of(1));
        assertThat(fleet.isQuarantinedEverywhere(fatal())).isTrue();
    }

    @Test
    void liftedPartIsFreeEverywhere() {
        UpstreamRun waiting = fleet.send(1, fatal(), fleet.addUpstream());
        quarantineFatalPart();
        assertThat(fleet.quarantine(1).mustTakeBack(waiting.request(), waiting.upstream()))
                .isTrue();
        QuarantinedRequest entry = fleet.quarantine(1).quarantined().get(0);
        assertThat(fleet.quarantine(1).lift(new SuspectDigest(entry.digest()))).isTrue();
        fleet.awaitDelivery();
        assertThat(fleet.isQuarantinedAnywhere(fatal())).isFalse();
    }

    /**
     * For each seed: requests with a fatal part and sound ones that share all else with them come at any node in any
     * order, several in flight, while upstreams also terminate by themselves. Few more than three upstreams terminate
     * under the part, and nothing but the part is quarantined.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void onlyTheFatalPartIsQuarantined(long seed) {
        Random random = new Random(seed);
        IntStream.range(0, NODES).forEach(node -> fleet.serve(node, sound()));
        int terminated = 0;
        for (int step = 0; step < 300; step++) {
            fleet.advance(Duration.ofMillis(random.nextInt(150)));
            int node = random.nextInt(NODES);
            switch (random.nextInt(8)) {
                case 0, 1 -> {
                    terminated += terminatesWithBystanders(node, random) ? 1 : 0;
                }
                case 2 -> fleet.terminatesUpstream(node, sound());
                default -> fleet.serve(node, sound());
            }
            fleet.awaitDelivery();
        }
        assertThat(terminated).isBetween(MAX_TERMINATIONS, MAX_UNORDERED_TERMINATIONS);
        assertThat(quarantinedParts(0)).containsExactly(FATAL);
        assertThat(fleet.isQuarantinedAnywhere(sound())).isFalse();
    }

    private boolean terminatesWithBystanders(int node, Random random) {
        TrackedRequest request = fatal();
        if (fleet.quarantine(node).isQuarantined(request)) {
            return false;
        }
        int upstream = fleet.addUpstream();
        Map<UpstreamRun, Integer> runs = new HashMap<>();
        runs.put(fleet.send(node, request, upstream), node);
        int bystanders = random.nextInt(6);
        for (int i = 0; i < bystanders; i++) {
            int other = random.nextInt(NODES);
            runs.put(fleet.send(other, sound(), upstream), other);
        }
        fleet.terminate(upstream, runs);
        return true;
    }

    private void quarantineFatalPart() {
        for (int i = 0; i < MAX_TERMINATIONS; i++) {
            fleet.terminatesUpstream(i, fatal());
            fleet.serve(i, sound());
            fleet.awaitDelivery();
        }
    }

    private List<String> quarantinedParts(int node) {
        return fleet.quarantine(node).quarantined().stream()
                .map(QuarantinedRequest::part)
                .toList();
    }

    private TrackedRequest fatal() {
        return request(FIRST, FATAL, SHARED);
    }

    private TrackedRequest sound() {
        return request(FIRST, SHARED);
    }

    private TrackedRequest request(String... sharedParts) {
        requests++;
        return QuarantineFleet.request("body-" + requests, sharedParts);
    }
}
