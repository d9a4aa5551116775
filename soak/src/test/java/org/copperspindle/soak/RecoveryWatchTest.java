package org.copperspindle.soak;

import java.util.List;

import org.copperspindle.soak.PromiseBook.Answer;
import org.copperspindle.soak.RecoveryWatch.Verdict;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RecoveryWatchTest {

    private static final long BOUND = RecoveryWatch.BOUND_MILLIS;
    private static final long END = 3 * BOUND;
    private static final int NODES = 3;
    private static final int VOTERS = 2;
    private static final int STEPS = 50;

    private final RecoveryWatch watch = new RecoveryWatch();

    /** Refusals of everything while the dispatcher is suspended must not count as service. */
    @Test
    void blamesUndisturbedNodesThatServeNothing() {
        watch.disturbed(2, 0);
        answers(0, 503);
        answers(1, 503);
        Verdict verdict = watch.judge(NODES, VOTERS, END);
        assertThat(verdict.judged()).isEqualTo(1);
        assertThat(verdict.broken()).singleElement().asString().startsWith("again: nodes served");
    }

    /** A node whose requests all hang must be found, though the others serve theirs. */
    @Test
    void blamesAnUndisturbedNodeThatAnswersNothing() {
        watch.disturbed(2, 0);
        answers(0, 200);
        answers(1, 0);
        assertThat(watch.judge(NODES, VOTERS, END).broken())
                .singleElement()
                .asString()
                .startsWith("again: node-1 answered");
    }

    /** A deployment that has lost more voters than it tolerates is promised nothing. */
    @Test
    void judgesNothingBeyondToleratedLosses() {
        watch.disturbed(0, 0);
        watch.disturbed(1, 0);
        answers(2, 503);
        assertThat(watch.judge(NODES, VOTERS, END)).isEqualTo(new Verdict(0, List.of()));
    }

    /** A restart takes seconds, and the node becomes a dispatcher only then: the time before is another one. */
    @Test
    void waitsUntilARestartedNodeServes() {
        watch.disturbed(2, 0).ends(BOUND / 2);
        answers(0, 200);
        watch.answered(new Answer(200, "", true, false, BOUND + 1, 2, END - 1, END - 1));
        Verdict verdict = watch.judge(NODES, VOTERS, END);
        assertThat(verdict).isEqualTo(new Verdict(1, List.of()));
    }

    private void answers(int node, int status) {
        for (long at = 1; at < END; at += BOUND / STEPS) {
            long firstAt = status == 200 ? at + 1 : 0;
            watch.answered(new Answer(status, "", true, status == 503, at, node, firstAt, at + 1));
        }
    }
}
