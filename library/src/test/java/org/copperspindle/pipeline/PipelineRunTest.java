package org.copperspindle.pipeline;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.copperspindle.agent.AttemptChunkMessage;
import org.copperspindle.agent.AttemptOrderMessage;
import org.copperspindle.agent.AttemptOutcomeMessage;
import org.copperspindle.claims.ClaimDecision;
import org.copperspindle.claims.ClaimResult;
import org.copperspindle.config.AccountSettings;
import org.copperspindle.config.PipelineSettings;
import org.copperspindle.config.PoolKind;
import org.copperspindle.config.Priority;
import org.copperspindle.config.StageSettings;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.verdict.MayHaveRunVerdict;
import org.copperspindle.verdict.NotRunVerdict;
import org.copperspindle.verdict.RanVerdict;
import org.copperspindle.verdict.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class PipelineRunTest {

    private static final long DEADLINE = Duration.ofSeconds(6).toNanos();

    private final List<PipelineAction> done = new ArrayList<>();
    private boolean mayRetry = true;
    private String key = "k";

    /**
     * A stage takes long and is hedged. The attempt that is complete first is the answer; the other is cancelled, and
     * its late outcome changes nothing.
     */
    @Test
    void firstCompleteAnswerOfAHedgeWins() {
        PipelineRun run = start(PoolKind.SERVICE, true, false);
        done.addAll(run.onHedgeDue(1));
        assertThat(orders()).extracting(AttemptOrderMessage::upstreamId).containsExactly("u1", "u2");

        done.addAll(run.onOutcome(outcome("r/call/2", RanVerdict.SUCCESS, "{\"n\":2}", 0), 2));
        assertThat(done).contains(new PipelineAction.Cancel("r/call/1", "u1"));
        assertThat(body()).isEqualTo("{\"n\":2}");
        assertThat(run.onOutcome(outcome("r/call/1", RanVerdict.SUCCESS, "{\"n\":1}", 0), 3))
                .containsExactly(new PipelineAction.Dropped("outcome"));
    }

    /** One of two hedged attempts is lost: the other continues, and no third one is started. */
    @Test
    void lostHedgeLeavesTheOtherAttempt() {
        PipelineRun run = start(PoolKind.SERVICE, true, false);
        done.addAll(run.onHedgeDue(1));
        done.addAll(run.onOutcome(outcome("r/call/1", new MayHaveRunVerdict("reset"), "", 0), 2));
        assertThat(orders()).hasSize(2);
        done.addAll(run.onOutcome(outcome("r/call/2", RanVerdict.SUCCESS, "{\"n\":2}", 0), 3));

        assertThat(body()).isEqualTo("{\"n\":2}");
    }

    @Test
    void unrepeatableAndStreamedStagesAreNeverHedged() {
        PipelineRun install = start(PoolKind.SERVICE, false, false);
        install.onClaim(ClaimDecision.of(ClaimResult.GRANTED), 0);
        assertThat(install.onHedgeDue(1)).isEmpty();
        assertThat(start(PoolKind.ENGINE, true, true).onHedgeDue(1)).isEmpty();
    }

    /**
     * The engine resets the stream after two pieces. The rest is requested after the text that the caller has; the
     * caller gets every piece once. Without retry budget the answer ends as broken, never as complete.
     */
    @Test
    void cutStreamContinuesAfterTheTextThatTheCallerHas() {
        PipelineRun run = start(PoolKind.ENGINE, true, true);
        done.addAll(run.onChunk(new AttemptChunkMessage("r/call/1", 0, events("one ", "two "))));
        done.addAll(run.onOutcome(outcome("r/call/1", new MayHaveRunVerdict("reset"), "", 1), 1));

        AttemptOrderMessage resumed = orders().get(1);
        assertThat(new String(resumed.body(), StandardCharsets.UTF_8))
                .contains("\"prompt\":\"hello one two \"")
                .contains("\"max_tokens\":126");
        done.addAll(run.onChunk(new AttemptChunkMessage("r/call/1", 1, events("stray "))));
        done.addAll(run.onChunk(new AttemptChunkMessage("r/call/2", 0, events("three", "[DONE]"))));
        done.addAll(run.onOutcome(outcome("r/call/2", RanVerdict.SUCCESS, "", 1), 2));

        assertThat(pieces()).containsExactly("one ", "two ", "three");
        assertThat(answer().successful()).isTrue();
    }

    @Test
    void cutStreamWithoutBudgetIsBroken() {
        mayRetry = false;
        PipelineRun run = start(PoolKind.ENGINE, true, true);
        done.addAll(run.onChunk(new AttemptChunkMessage("r/call/1", 0, events("one "))));
        done.addAll(run.onOutcome(outcome("r/call/1", RanVerdict.SUCCESS, "", 1), 1));

        assertThat(answer().successful()).isFalse();
        assertThat(answer().verdict().label()).isEqualTo("MAY_HAVE_RUN");
    }

    /**
     * Pieces were lost with a connection. The kept outcome has all bytes, of which only the missing ones are passed
     * on.
     */
    @Test
    void missingPiecesAreTakenFromTheKeptOutcome() {
        PipelineRun run = start(PoolKind.ENGINE, true, true);
        byte[] all = events("one ", "two ", "[DONE]");
        byte[] first = events("one ");
        done.addAll(run.onChunk(new AttemptChunkMessage("r/call/1", 0, first)));
        done.addAll(run.onLinkLost("r/call/1", 1));
        assertThat(done).hasAtLeastOneElementOfType(PipelineAction.Query.class);
        String body = new String(all, StandardCharsets.UTF_8);
        done.addAll(run.onOutcome(outcome("r/call/1", RanVerdict.SUCCESS, body, 3), 2));

        assertThat(pieces()).containsExactly("one ", "two ");
        assertThat(answer().successful()).isTrue();
    }

    /**
     * The verdict when a claim is not granted. EXPIRED does not give NOT_RUN, since the key was used before. Neither
     * does an undecided claim if the key ("k") is the caller's: an earlier arrival may have run, or may still get the
     * claim. A key generated by the entry ("r") is used by no other arrival.
     */
    @ParameterizedTest
    @CsvSource({
        "CONFLICT,    k, NOT_RUN,      409",
        "CONFLICT,    r, NOT_RUN,      409",
        "EXPIRED,     k, MAY_HAVE_RUN, 409",
        "EXPIRED,     r, MAY_HAVE_RUN, 409",
        "UNAVAILABLE, k, MAY_HAVE_RUN, 503",
        "UNAVAILABLE, r, NOT_RUN,      503",
        "FULL,        k, MAY_HAVE_RUN, 503",
        "FULL,        r, NOT_RUN,      503"
    })
    void refusedClaimsGetTheCorrectVerdict(ClaimResult result, String requestKey, String verdict, int status) {
        key = requestKey;
        PipelineRun run = start(PoolKind.SERVICE, false, false);
        done.addAll(run.onClaim(ClaimDecision.of(result), 1));

        assertThat(answer().verdict().label()).isEqualTo(verdict);
        assertThat(answer().status()).isEqualTo(status);
        assertThat(orders()).isEmpty();
        assertThat(run.closed()).isTrue();
    }

    /**
     * An unrepeatable request ran. Its agent may drop the outcome only after the claim table has recorded the end; if
     * it were acknowledged at once, a resend in between would get MAY_HAVE_RUN instead of the outcome.
     */
    @Test
    void unrepeatableOutcomeIsAcknowledgedAfterItsSettlement() {
        PipelineRun run = start(PoolKind.SERVICE, false, false);
        done.addAll(run.onClaim(ClaimDecision.of(ClaimResult.GRANTED), 0));
        done.addAll(run.onOutcome(outcome("r/call/1", RanVerdict.SUCCESS, "{}", 0), 1));

        assertThat(done).doesNotHaveAnyElementsOfTypes(PipelineAction.Acknowledge.class);
        assertThat(done)
                .filteredOn(PipelineAction.Settle.class::isInstance)
                .map(a -> ((PipelineAction.Settle) a).acknowledge())
                .containsExactly(Optional.of(new PipelineAction.Acknowledge("r/call/1", "u1")));
    }

    /**
     * The claim table knows that the attempt which holds the key ran, but its agent has dropped the outcome and
     * reports that the attempt never arrived. This is no proof: the caller gets MAY_HAVE_RUN, and the key is not
     * claimed again.
     */
    @Test
    void claimsOverrideAnAgentWithoutTheOutcome() {
        PipelineRun run = start(PoolKind.SERVICE, false, false);
        done.addAll(run.onClaim(new ClaimDecision(ClaimResult.HELD, "x/call/1", "u1", 1, 1, true), 0));
        done.addAll(run.onOutcome(outcome("x/call/1", new NotRunVerdict("never-arrived"), "", 0), 1));

        assertThat(answer().verdict().label()).isEqualTo("MAY_HAVE_RUN");
        assertThat(done).filteredOn(PipelineAction.Claim.class::isInstance).hasSize(1);
    }

    /**
     * The outcome of an unrepeatable request is lost: the caller gets MAY_HAVE_RUN with a retry time, and nothing is
     * claimed or dispatched again.
     */
    @Test
    void lostUnrepeatableAttemptIsNotRetried() {
        PipelineRun run = start(PoolKind.SERVICE, false, false);
        done.addAll(run.onClaim(ClaimDecision.of(ClaimResult.GRANTED), 0));
        done.addAll(run.onOutcome(outcome("r/call/1", new MayHaveRunVerdict("reset"), "", 0), 1));

        assertThat(answer().verdict().label()).isEqualTo("MAY_HAVE_RUN");
        assertThat(answer().retryAfter()).isPresent();
        assertThat(done).filteredOn(PipelineAction.Claim.class::isInstance).hasSize(1);
        assertThat(orders()).hasSize(1);
    }

    /**
     * The retry budget is spent and the only attempt was refused with proof: trying another upstream costs nothing,
     * so the budget is not needed.
     */
    @Test
    void refusalWithProofNeedsNoRetryBudget() {
        mayRetry = false;
        PipelineRun run = start(PoolKind.SERVICE, true, false);
        done.addAll(run.onOutcome(outcome("r/call/1", new NotRunVerdict("draining"), "", 0), 1));

        assertThat(orders()).hasSize(2);
    }

    private PipelineRun start(PoolKind kind, boolean repeatable, boolean streaming) {
        StageSettings stage = new StageSettings("call", "pool", "", repeatable, "");
        PipelineSettings pipeline = new PipelineSettings(
                "p", Duration.ofSeconds(6), Priority.STANDARD, List.of(stage), kind == PoolKind.SERVICE);
        AccountSettings account =
                new AccountSettings("acc", "", 1, 1, Priority.INTERACTIVE, Duration.ofSeconds(60), List.of("p"));
        byte[] body = "{\"input\":\"hello \"}".getBytes(StandardCharsets.UTF_8);
        PipelineRequest request = new PipelineRequest(
                "r", account, key, pipeline, body, new byte[32], Priority.STANDARD, DEADLINE, streaming);
        PipelineRun run = new PipelineRun(request, new TestChooser(kind));
        done.addAll(run.start(0));
        return run;
    }

    private List<AttemptOrderMessage> orders() {
        return done.stream()
                .filter(PipelineAction.Dispatch.class::isInstance)
                .map(a -> ((PipelineAction.Dispatch) a).order())
                .toList();
    }

    private List<String> pieces() {
        return done.stream()
                .filter(PipelineAction.Piece.class::isInstance)
                .map(a -> ((PipelineAction.Piece) a).text())
                .toList();
    }

    private PipelineAnswer answer() {
        return done.stream()
                .filter(PipelineAction.Answer.class::isInstance)
                .map(a -> ((PipelineAction.Answer) a).answer())
                .reduce((a, b) -> {
                    throw new AssertionError("answered twice");
                })
                .orElseThrow();
    }

    private String body() {
        return new String(answer().body(), StandardCharsets.UTF_8);
    }

    private static byte[] events(String... texts) {
        StringBuilder events = new StringBuilder();
        for (String text : texts) {
            String data = text.equals("[DONE]") ? text : "{\"choices\":[{\"text\":\"" + text + "\"}]}";
            events.append("data: ").append(data).append("\n\n");
        }
        return events.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static AttemptOutcomeMessage outcome(String attemptId, Verdict verdict, String body, long chunks) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        boolean complete = verdict instanceof RanVerdict;
        return new AttemptOutcomeMessage(
                attemptId, verdict, 200, "application/json", bytes, complete, chunks, 1, 0, -1);
    }

    /** Offers three upstreams, untried ones first. */
    private final class TestChooser implements UpstreamChooser {
        private final PoolKind kind;

        private TestChooser(PoolKind kind) {
            this.kind = kind;
        }

        @Override
        public Optional<UpstreamAnnouncement> choose(StageSettings stage, StageContext context, Set<String> tried) {
            InetSocketAddress agent = new InetSocketAddress("10.0.0.1", 1);
            return List.of("u1", "u2", "u3").stream()
                    .filter(id -> !tried.contains(id))
                    .findFirst()
                    .map(id -> new UpstreamAnnouncement(id, "pool", "north", agent, 1, 1, List.of(), false));
        }

        @Override
        public PoolKind kind(String pool) {
            return kind;
        }

        @Override
        public boolean mayRetry(PipelineRequest request) {
            return mayRetry;
        }

        @Override
        public boolean mayHedge(PipelineRequest request) {
            return true;
        }

        @Override
        public long configVersion() {
            return 1;
        }
    }
}
