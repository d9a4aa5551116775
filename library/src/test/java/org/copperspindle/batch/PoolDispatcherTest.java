package org.copperspindle.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.copperspindle.batch.FakeStagePort.Conduct;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.measure.DecisionLog;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.route.TestRoutes;
import org.copperspindle.time.VirtualTimerService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class PoolDispatcherTest {

    private static final long MILLI = 1_000_000L;
    private static final BatchLimits LIMITS = TestRoutes.batch(40);

    private final VirtualTimerService time = new VirtualTimerService();
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final FakeStagePort port = new FakeStagePort(time, LIMITS);
    private final List<PieceResult> results = new ArrayList<>();
    private final RecordingSink sink = new RecordingSink(message -> results.addAll(message.results()));
    private final PoolDispatcher dispatcher =
            new PoolDispatcher("p", directory, time, port, () -> Optional.of(LIMITS), sink, new DecisionLog(0, 0));
    private long lastId;

    @Test
    void piecesOfSeveralRequestsShareACall() {
        upstream("a", "d1");
        add(group(1, 5000, 20_000));
        add(group(8, 5000, 20_000));
        add(group(8, 5000, 20_000));
        time.advance(1000 * MILLI);
        assertThat(port.calls).extracting(c -> c.items().size()).containsExactly(1, 16);
        assertThat(results).hasSize(17).allMatch(r -> r.outcome() instanceof PieceOutcome.Made);
    }

    @Test
    void freeUpstreamsShareWhatWaits() {
        upstream("a", "d1");
        upstream("b", "d1");
        upstream("c", "d1");
        port.conduct.put("a", Conduct.SOUND);
        IntStream.range(0, 3).forEach(i -> add(group(8, 5000, 20_000)));
        assertThat(port.calls).extracting(FakeStagePort.Call::upstream).containsExactlyInAnyOrder("a", "b", "c");
    }

    /**
     * An upstream fails in one way or another while a second one is sound. The request sees a wait, and every piece once;
     * what a failing upstream was asked for is made by the other.
     */
    @ParameterizedTest
    @EnumSource(
            value = Conduct.class,
            names = {"DARK", "FAILING", "WITHOUT_ROOM"})
    void piecesOfAFailingUpstreamAreMadeByAnother(Conduct conduct) {
        upstream("a", "d1");
        port.conduct.put("a", conduct);
        add(group(8, 5000, 20_000));
        upstream("b", "d1");
        dispatcher.dispatch();
        time.advance(8000 * MILLI);
        assertThat(results).hasSize(8).allMatch(r -> r.outcome() instanceof PieceOutcome.Made);
        assertThat(results).extracting(PieceResult::piece).doesNotHaveDuplicates();
    }

    /** Every upstream fails: the request must hear of it rather than wait for ever. */
    @Test
    void piecesAreGivenUpAfterThreeLosses() {
        upstream("a", "d1");
        port.conduct.put("a", Conduct.FAILING);
        add(group(2, 5000, 20_000));
        time.advance(5000 * MILLI);
        assertThat(port.calls).hasSize(3);
        assertThat(results).hasSize(2).allMatch(r -> r.outcome().equals(new PieceOutcome.Missed(MissReason.FAILED)));
    }

    /** The input of a stage was forgotten by its maker: making the piece again elsewhere would fail again. */
    @Test
    void lostInputIsToldAtOnce() {
        upstream("a", "d1");
        port.conduct.put("a", Conduct.WITHOUT_INPUT);
        add(group(1, 5000, 20_000));
        time.advance(300 * MILLI);
        assertThat(results)
                .singleElement()
                .satisfies(r -> assertThat(r.outcome()).isEqualTo(new PieceOutcome.Missed(MissReason.INPUT_GONE)));
    }

    @Test
    void slowUpstreamGetsNoCallThatAFastOneEndsBefore() {
        upstream("slow", "d1");
        port.conduct.put("slow", Conduct.SLOW);
        add(group(8, 50_000, 90_000));
        time.advance(1600 * MILLI);
        upstream("fast", "d1");
        IntStream.range(0, 6).forEach(i -> {
            add(group(8, 50_000, 90_000));
            time.advance(200 * MILLI);
        });
        time.advance(3000 * MILLI);
        long slow = port.calls.stream()
                .skip(1)
                .filter(c -> c.upstream().equals("slow"))
                .count();
        assertThat(slow).isLessThanOrEqualTo(1);
    }

    /** Nobody waits for it any more; its time was over while it waited. */
    @Test
    void groupWhoseTimeIsOverIsToldSo() {
        add(group(1, 10, 50));
        time.advance(200 * MILLI);
        assertThat(results)
                .singleElement()
                .satisfies(r -> assertThat(r.outcome()).isEqualTo(new PieceOutcome.Missed(MissReason.LATE)));
    }

    /** The caller left while a call ran: what comes of it holds memory and is freed, and nobody is told. */
    @Test
    void resultsOfACancelledGroupAreFreed() {
        upstream("a", "d1");
        PieceGroup group = group(3, 5000, 20_000);
        add(group);
        time.advance(100 * MILLI);
        dispatcher.cancel("origin", group.id());
        time.advance(400 * MILLI);
        assertThat(results).isEmpty();
        assertThat(port.freed).hasSize(3);
    }

    /**
     * A node loses power: what it had asked for is made and never given up, and fills the memory of its makers for seconds.
     * Results made for other nodes stay, and so do those of the node's next life.
     */
    @Test
    void resultsOfALostNodeAreFound() {
        upstream("a", "d1");
        add(group(3, 5000, 20_000));
        time.advance(300 * MILLI);
        dispatcher.add("other", group(2, 5000, 20_000));
        time.advance(300 * MILLI);
        add(group(4, 5000, 20_000));
        add(group(5, 5000, 20_000));
        assertThat(dispatcher.forget("origin", time.nanoTime())).hasSize(3);
        assertThat(dispatcher.waitingPieces()).isZero();
        time.advance(600 * MILLI);
        assertThat(port.freed).as("made after the node was lost").hasSize(4);
        long lostAt = time.nanoTime() - MILLI;
        add(group(2, 5000, 20_000));
        time.advance(600 * MILLI);
        assertThat(dispatcher.forget("origin", lostAt))
                .as("only of the old life")
                .hasSize(3);
        assertThat(results).as("of groups before and after").hasSize(7);
    }

    @Test
    void largeInputsAreFetchedWithinTheirFailureDomain() {
        upstream("near", "d1");
        upstream("far", "d2");
        upstream("maker", "d1");
        // Both stage upstreams are free; the maker of the inputs stands in the failure domain of one of them.
        IntStream.range(0, 4).forEach(i -> {
            add(follower("10.0.0.3:1/x", 200_000));
            time.advance(700 * MILLI);
        });
        assertThat(port.calls).noneMatch(c -> c.upstream().equals("far"));
    }

    /** Half of the results wait for their stage: a call that needs more memory than is left would come back unmade. */
    @Test
    void callTakesNoMoreThanTheMemoryForItsResults() {
        upstream("a", "d1");
        add(sized(30, 100_000));
        add(sized(30, 100_000));
        time.advance(900 * MILLI);
        assertThat(port.calls).extracting(c -> c.items().size()).containsExactly(30, 19);
        List<String> handles = results.stream()
                .limit(30)
                .map(r -> ((PieceOutcome.Made) r.outcome()).handle())
                .toList();
        dispatcher.free(handles);
        time.advance(900 * MILLI);
        assertThat(results).hasSize(60);
    }

    /**
     * A call runs that reads results of another pool. Their makers need the memory: it is given back while the call still
     * runs, as soon as the inputs must have been fetched, and not before.
     */
    @Test
    void inputsAreGivenUpOnceTheyAreFetched() {
        upstream("a", "d1");
        add(follower("10.0.0.9:1/x", 0));
        time.advance(24 * MILLI);
        assertThat(sink.givenUp).isEmpty();
        time.advance(MILLI);
        assertThat(sink.givenUp).containsExactly("10.0.0.9:1/x");
        assertThat(results).isEmpty();
    }

    /**
     * The upstream refuses the call, and it goes out again a little later. The inputs must last until that call has
     * fetched them, counted from its own start.
     */
    @Test
    void inputsOfARefusedCallAreKeptForTheNext() {
        upstream("a", "d1");
        port.conduct.put("a", Conduct.REFUSING);
        add(follower("10.0.0.9:1/x", 0));
        time.advance(30 * MILLI);
        port.conduct.put("a", Conduct.SOUND);
        time.advance(54 * MILLI);
        assertThat(port.calls).hasSize(2);
        assertThat(sink.givenUp).isEmpty();
        time.advance(10 * MILLI);
        assertThat(sink.givenUp).containsExactly("10.0.0.9:1/x");
    }

    /**
     * An upstream turns six times slower. Its first calls are given to others, but it must not be taken for dark for ever: it
     * answers in the end, and what it makes counts.
     */
    @Test
    void slowUpstreamAnswersAfterTwoLosses() {
        upstream("a", "d1");
        port.conduct.put("a", Conduct.SLOW);
        add(group(8, 50_000, 90_000));
        time.advance(30_000 * MILLI);
        assertThat(results).hasSize(8).allMatch(r -> r.outcome() instanceof PieceOutcome.Made);
    }

    /**
     * The only upstream has no memory left, and its results are given up. The next call goes out once it has answered: on
     * another connection the call would overtake that, find the memory full, and its pieces would be refused.
     */
    @Test
    void memoryIsFreeOnceItsOwnerHasHeard() {
        port.freeNanos = 50 * MILLI;
        upstream("a", "d1");
        add(sized(8, 600_000));
        add(sized(8, 600_000));
        time.advance(400 * MILLI);
        assertThat(port.calls).hasSize(1);
        List<String> handles = results.stream()
                .map(r -> ((PieceOutcome.Made) r.outcome()).handle())
                .toList();
        dispatcher.free(handles);
        time.advance(60 * MILLI);
        assertThat(port.freed).hasSize(8);
        assertThat(port.calls).hasSize(1);
        time.advance(20 * MILLI);
        assertThat(port.calls).hasSize(2);
    }

    /** The upstream finds no room after it has fetched the inputs, which are given up by then: the request hears of it. */
    @Test
    void piecesWithoutRoomAndInputsAreToldSo() {
        upstream("a", "d1");
        port.conduct.put("a", Conduct.WITHOUT_ROOM);
        add(follower("10.0.0.9:1/x", 0));
        time.advance(400 * MILLI);
        assertThat(port.calls).hasSize(1);
        assertThat(results)
                .hasSize(6)
                .allMatch(r -> r.outcome().equals(new PieceOutcome.Missed(MissReason.INPUT_GONE)));
    }

    /**
     * The caller leaves, or the time is over, while the group waits: nobody will ever read the inputs, and nobody else
     * gives them up.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void inputsOfAGroupThatIsNeverMadeAreGivenUp(boolean cancelled) {
        add(follower("10.0.0.9:1/x", 0));
        if (cancelled) {
            dispatcher.cancel("origin", lastId);
        } else {
            time.advance(21_000 * MILLI);
        }
        assertThat(sink.givenUp).containsExactly("10.0.0.9:1/x");
    }

    /** The call is lost after its inputs were given up: the pieces can't be made again without them. */
    @Test
    void lostCallWithoutInputsIsToldSo() {
        upstream("a", "d1");
        port.conduct.put("a", Conduct.DARK);
        add(follower("10.0.0.9:1/x", 0));
        time.advance(10_000 * MILLI);
        assertThat(port.calls).hasSize(1);
        assertThat(results)
                .hasSize(6)
                .allMatch(r -> r.outcome().equals(new PieceOutcome.Missed(MissReason.INPUT_GONE)));
    }

    /**
     * An upstream goes dark with a call, and starts again under its id. What it held is gone with its former life, and the
     * dark call must not keep its new life from getting the next one.
     */
    @Test
    void restartUnderTheSameIdIsFreeAndEmpty() {
        live("a", 1000);
        port.conduct.put("a", Conduct.DARK);
        add(group(8, 5000, 20_000));
        add(group(8, 5000, 20_000));
        port.conduct.put("a", Conduct.SOUND);
        time.advance(100 * MILLI);
        assertThat(port.calls).hasSize(1);
        live("a", 2000);
        dispatcher.dispatch();
        assertThat(port.calls).as("the second group at once").hasSize(2);
        time.advance(8000 * MILLI);
        assertThat(results).hasSize(16).allMatch(r -> r.outcome() instanceof PieceOutcome.Made);
    }

    /**
     * A failure domain is evacuated while a call runs there and pieces wait. What runs is finished and its results are used; no
     * further call goes there, and nobody is told there of results that are given up.
     */
    @Test
    void evacuatedDomainGetsNothingMore() {
        upstream("a", "d1");
        upstream("b", "d2");
        IntStream.range(0, 12).forEach(i -> add(group(8, 5000, 20_000)));
        directory.evacuate(Set.of("d1"), time.nanoTime());
        dispatcher.dispatch();
        long before = port.calls.stream().filter(c -> c.upstream().equals("a")).count();
        time.advance(200 * MILLI);
        dispatcher.free(List.of("10.0.0.1:1/1"));
        time.advance(8000 * MILLI);
        assertThat(port.calls.stream().filter(c -> c.upstream().equals("a"))).hasSize((int) before);
        assertThat(port.freed).isEmpty();
        assertThat(results).hasSize(96).allMatch(r -> r.outcome() instanceof PieceOutcome.Made);
    }

    /** A cold upstream that bears a few requests a second is told of given up results together, not fifty times a second. */
    @Test
    void coldUpstreamIsRarelyToldOfResults() {
        directory.accept(
                new UpstreamRecord("a", 0, "p", "10.0.0.1:1", "d1", UpstreamPhase.READY, 1, 1, 0, 3000),
                time.nanoTime());
        dispatcher.dispatch();
        for (int i = 0; i < 100; i++) {
            dispatcher.free(List.of("10.0.0.1:1/" + i));
            time.advance(20 * MILLI);
        }
        time.advance(1000 * MILLI);
        assertThat(port.freed).hasSize(100);
        assertThat(port.freeCalls).isBetween(3, 6);
    }

    private void live(String id, long incarnation) {
        announce(id, incarnation, "10.0.0.1:1", "d1");
    }

    private void upstream(String id, String domain) {
        int number = directory.ready("p").size() + 1;
        announce(id, 0, "10.0.0." + number + ":1", domain);
    }

    private void announce(String id, long incarnation, String address, String domain) {
        directory.accept(
                new UpstreamRecord(id, incarnation, "p", address, domain, UpstreamPhase.READY, 1, 1, 0, 0),
                time.nanoTime());
    }

    private void add(PieceGroup group) {
        dispatcher.add("origin", group);
    }

    private PieceGroup group(int pieces, long slackMillis, long deadlineMillis) {
        return group(pieces, slackMillis, deadlineMillis, 10);
    }

    private PieceGroup sized(int pieces, long bytes) {
        return group(pieces, 9000, 20_000, bytes);
    }

    private PieceGroup group(int pieces, long slackMillis, long deadlineMillis, long bytes) {
        return new PieceGroup(
                ++lastId,
                "r" + lastId,
                0,
                "p",
                pieces,
                all(pieces),
                "k",
                List.of(),
                4,
                slackMillis,
                deadlineMillis,
                bytes,
                0,
                "",
                false);
    }

    private PieceGroup follower(String input, long inputBytes) {
        return new PieceGroup(
                ++lastId,
                "r" + lastId,
                1,
                "p",
                6,
                all(6),
                "",
                List.of(input),
                4,
                2000,
                20_000,
                10,
                inputBytes,
                "",
                true);
    }

    private static List<Integer> all(int pieces) {
        return IntStream.range(0, pieces).boxed().toList();
    }
}
