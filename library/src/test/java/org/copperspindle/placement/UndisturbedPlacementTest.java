package org.copperspindle.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.engineload.EnginePrompt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Engines read 50 tokens a millisecond unless said otherwise, the first event comes 20 ms after reading, and streams
 * may pause for 600 ms.
 */
class UndisturbedPlacementTest {

    private static final long MILLI = 1_000_000L;
    private static final double SPEED = 50.0 / MILLI;

    private final EnginePlacement placement = EnginePlacements.undisturbed();

    /** Guards against a failure of requests whose engines are all excluded. */
    @Test
    void withoutEnginesThereIsNoDecision() {
        assertThat(placement.place(demand(10_000, 5000, 1000), List.of())).isInstanceOf(PlacementDecision.None.class);
    }

    /**
     * The home engine takes what is in time there and interrupts no stream for long: a prompt that moves makes another
     * engine read the shared part again.
     */
    @ParameterizedTest
    @CsvSource({
        "0, 10000, 5, 1000, true",
        "29000, 10000, 5, 1000, true",
        "38000, 10000, 5, 2000, false",
        "38000, 10000, 0, 2000, true",
        "29000, 10000, 5, 900, true",
        "29000, 10000, 5, 899, false"
    })
    void homeEngineTakesWhatDoesNoHarm(
            long waitingTokens, long ownTokens, long streams, long leftMillis, boolean expected) {
        EngineCandidate home = new Engine("home", 9)
                .cached()
                .waiting(waitingTokens)
                .streams(streams)
                .get();
        EngineCandidate other = new Engine("other", 1).streams(5).get();
        PlacementDemand demand = new Demand(ownTokens + 500, 500, leftMillis).get();
        assertThat(place(demand, home, other)).isEqualTo(expected ? "home home" : "other other");
    }

    /** Guards against moves away from an engine that paused for other prompts, by requests that do no harm there. */
    @Test
    void recentPausesDoNotMoveRequestsFromHome() {
        EngineCandidate home =
                new Engine("home", 9).cached().streams(5).pause(900).get();
        assertThat(place(demand(10_000, 5000, 1000), home, new Engine("other", 1).get()))
                .isEqualTo("home home");
    }

    /** The same without the shared part: the home engine would have to read it, like any other. */
    @ParameterizedTest
    @CsvSource({"25000, 1000, best other", "25000, 100, early earliest", "0, 1000, best other"})
    void privilegesOfHomeNeedTheSharedPart(long waitingAtHome, long leftMillis, String expected) {
        EngineCandidate home = new Engine("home", 9)
                .waiting(waitingAtHome)
                .streams(5)
                .pause(900)
                .get();
        EngineCandidate best = new Engine("best", 5).waiting(3000).streams(5).get();
        EngineCandidate early = new Engine("early", 1).streams(5).get();
        assertThat(place(demand(10_000, 500, leftMillis), home, best, early)).isEqualTo(expected);
    }

    /**
     * The engine that has the shared part by its score is excluded. The engine with the next score must not get what
     * another one has cached.
     */
    @ParameterizedTest
    @CsvSource({"0, cached cached", "25000, second home"})
    void cachedEngineGoesBeforeTheNextScoreWithoutTheHomeEngine(long waitingAtCached, String expected) {
        EngineCandidate second = new Engine("second", 8).streams(5).get();
        EngineCandidate cached = new Engine("cached", 1)
                .cached()
                .waiting(waitingAtCached)
                .streams(5)
                .get();
        assertThat(place(demand(10_000, 5000, 1000), second, cached)).isEqualTo(expected);
    }

    /** Of the engines where a request does no harm, one with its shared part saves reading that again. */
    @ParameterizedTest
    @CsvSource({"true, cached cached", "false, best other"})
    void cachedPartIsPreferredElsewhere(boolean isCached, String expected) {
        EngineCandidate home =
                new Engine("home", 9).cached().waiting(60_000).streams(5).get();
        EngineCandidate best = new Engine("best", 5).streams(5).get();
        Engine second = new Engine("cached", 3).streams(5);
        assertThat(place(demand(10_000, 5000, 1000), home, best, (isCached ? second.cached() : second).get()))
                .isEqualTo(expected);
    }

    /**
     * One engine has had no pauses. If engines with pauses were left out, it would get all requests that leave their
     * home engines, however much it has to read.
     */
    @ParameterizedTest
    @CsvSource({
        "0, 10000, 1000, steady other",
        "20000, 10000, 1000, pausing other",
        "0, 25000, 1000, steady least-disturbing",
        "20000, 25000, 800, pausing least-disturbing"
    })
    void onlySteadyEngineDoesNotGetEverything(
            long waitingAtSteady, long promptTokens, long leftMillis, String expected) {
        EngineCandidate home =
                new Engine("home", 9).cached().waiting(90_000).streams(5).get();
        EngineCandidate steady =
                new Engine("steady", 1).waiting(waitingAtSteady).streams(5).get();
        EngineCandidate pausing = new Engine("pausing", 5).streams(1).pause(500).get();
        assertThat(place(demand(promptTokens, 500, leftMillis), home, steady, pausing))
                .isEqualTo(expected);
    }

    /** Streams of an engine that paused for 500 ms would be late; it gets requests only if no other is left. */
    @ParameterizedTest
    @CsvSource({"true, other other", "false, pausing other"})
    void enginesWithPausesComeLast(boolean hasOther, String expected) {
        List<EngineCandidate> engines = new ArrayList<>();
        engines.add(new Engine("home", 9)
                .cached()
                .waiting(60_000)
                .streams(5)
                .pause(500)
                .get());
        engines.add(new Engine("pausing", 5).pause(500).get());
        if (hasOther) {
            engines.add(new Engine("other", 1).get());
        }
        assertThat(place(demand(10_000, 500, 1000), engines.toArray(EngineCandidate[]::new)))
                .isEqualTo(expected);
    }

    /** A prompt that interrupts streams anywhere goes to the engine where it interrupts the fewest for a short time. */
    @ParameterizedTest
    @CsvSource({"12, 8, 20, quiet", "12, 8, 10, fast", "1, 8, 10, busy"})
    void longPromptInterruptsTheFewestStreams(long busy, long quiet, long fast, String expected) {
        EngineCandidate home = new Engine("home", 9).streams(40).get();
        PlacementDemand demand = demand(50_000, 500, 3000);
        String placed = place(
                demand,
                home,
                new Engine("busy", 5).streams(busy).get(),
                new Engine("quiet", 1).streams(quiet).get(),
                new Engine("fast", 2).streams(fast).speed(2).get());
        assertThat(placed).isEqualTo(expected + " least-disturbing");
    }

    /**
     * All nodes decide on the same table. With prompts of others under way, long prompts must not all go to the engine
     * that has the fewest streams in it.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 400_000})
    void longPromptsOfManyNodesAreSpread(long unseenTokens) {
        List<EngineCandidate> engines = IntStream.range(0, 10)
                .mapToObj(i -> new Engine("e" + i, i).streams(i == 0 ? 5 : 7).get())
                .toList();
        Set<String> chosen = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            PlacementDemand demand = new Demand(50_000, 500, 3000)
                    .id("r" + i)
                    .unseen(unseenTokens)
                    .get();
            chosen.add(place(demand, engines.toArray(EngineCandidate[]::new)));
        }
        assertThat(chosen).hasSize(unseenTokens == 0 ? 1 : 10);
    }

    /** A request that is late anywhere goes to the earliest engine, or home if that costs it little. */
    @ParameterizedTest
    @CsvSource({"4000, home home", "6000, home home", "8000, early earliest"})
    void lateRequestGoesToTheEarliestEngine(long waitingAtHome, String expected) {
        EngineCandidate home =
                new Engine("home", 9).cached().waiting(waitingAtHome).streams(5).get();
        EngineCandidate early = new Engine("early", 1).streams(5).get();
        EngineCandidate later =
                new Engine("later", 5).waiting(20_000).streams(5).get();
        assertThat(place(demand(10_000, 1000, 100), home, early, later)).isEqualTo(expected);
    }

    /** All nodes would send late requests to the one engine that is earliest in the table. */
    @ParameterizedTest
    @CsvSource({"0, 1", "200000, 10"})
    void lateRequestsAreSpread(long unseenTokens, int expected) {
        Set<String> chosen = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            List<EngineCandidate> engines = new ArrayList<>();
            engines.add(new Engine("home", 1000).waiting(90_000).streams(5).get());
            for (int e = 0; e < 10; e++) {
                long score = (i * 7919L + e * 104_729L) % 997;
                engines.add(
                        new Engine("e" + e, score).waiting(e * 10).streams(5).get());
            }
            PlacementDemand demand =
                    new Demand(10_000, 1000, 100).unseen(unseenTokens).get();
            chosen.add(place(demand, engines.toArray(EngineCandidate[]::new)));
        }
        assertThat(chosen).hasSize(expected);
    }

    /**
     * Streams of a failed engine are resumed by all nodes at once: they must be spread over the engines that are in time,
     * whatever these have cached.
     */
    @Test
    void resumedStreamsAreSpreadOverEnginesInTime() {
        EngineCandidate home =
                new Engine("home", 99).cached().waiting(20_000).streams(5).get();
        List<EngineCandidate> engines = new ArrayList<>(List.of(home));
        IntStream.range(0, 8)
                .forEach(i -> engines.add(
                        new Engine("e" + i, i).streams(20).pause(900).get()));
        Set<String> chosen = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            PlacementDemand demand =
                    new Demand(10_000, 5000, 300).id("r" + i).resumed().get();
            chosen.add(place(demand, engines.toArray(EngineCandidate[]::new)));
        }
        assertThat(chosen).hasSize(8).allMatch(text -> text.startsWith("e") && text.endsWith("resumed"));
    }

    /** A stream that can't be resumed in time is late by as little as possible. */
    @ParameterizedTest
    @ValueSource(longs = {50, 0, -300})
    void resumedStreamGoesToTheEarliestEngineIfNoneIsInTime(long leftMillis) {
        EngineCandidate fast = new Engine("fast", 1).speed(2).get();
        EngineCandidate home = new Engine("home", 9).waiting(10_000).get();
        assertThat(place(new Demand(10_000, 5000, leftMillis).resumed().get(), fast, home))
                .isEqualTo("fast earliest");
    }

    private String place(PlacementDemand demand, EngineCandidate... engines) {
        PlacementDecision decision = placement.place(demand, List.of(engines));
        assertThat(decision).isInstanceOf(PlacementDecision.Send.class);
        PlacementDecision.Send send = (PlacementDecision.Send) decision;
        return send.engine().id() + ' ' + send.reason().label();
    }

    private static PlacementDemand demand(long promptTokens, long sharedTokens, long leftMillis) {
        return new Demand(promptTokens, sharedTokens, leftMillis).get();
    }

    private static final class Demand {
        private final long promptTokens;
        private final long sharedTokens;
        private final long leftMillis;
        private String id = "r";
        private long unseenTokens;
        private boolean resumed;

        private Demand(long promptTokens, long sharedTokens, long leftMillis) {
            this.promptTokens = promptTokens;
            this.sharedTokens = sharedTokens;
            this.leftMillis = leftMillis;
        }

        private Demand id(String value) {
            id = value;
            return this;
        }

        private Demand unseen(long tokens) {
            unseenTokens = tokens;
            return this;
        }

        private Demand resumed() {
            resumed = true;
            return this;
        }

        private PlacementDemand get() {
            return new PlacementDemand(
                    id,
                    new EnginePrompt("part", sharedTokens, promptTokens),
                    leftMillis * MILLI,
                    100 * MILLI,
                    600 * MILLI,
                    unseenTokens,
                    resumed);
        }
    }

    private static final class Engine {
        private final String id;
        private final long score;
        private boolean cached;
        private long waitingTokens;
        private double speed = SPEED;
        private long streams;
        private long pauseMillis;

        private Engine(String id, long score) {
            this.id = id;
            this.score = score;
        }

        private Engine cached() {
            cached = true;
            return this;
        }

        private Engine waiting(long tokens) {
            waitingTokens = tokens;
            return this;
        }

        private Engine speed(double factor) {
            speed = SPEED * factor;
            return this;
        }

        private Engine streams(long count) {
            streams = count;
            return this;
        }

        private Engine pause(long millis) {
            pauseMillis = millis;
            return this;
        }

        private EngineCandidate get() {
            UpstreamRecord engine = new UpstreamRecord(
                    id, 1, "p", "10.0.0.1:1", "d", UpstreamPhase.READY, 64, 1, 0, 0, SoftwareVersion.UNSTATED);
            return new EngineCandidate(
                    engine, score, cached, waitingTokens, speed, 20 * MILLI, streams, pauseMillis * MILLI);
        }
    }
}
