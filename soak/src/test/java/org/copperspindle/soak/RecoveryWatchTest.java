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

    private final RecoveryWatch watch = new RecoveryWatch();

    /** A node that refuses everything while the dispatcher is suspended must not count as one that answers again. */
    @Test
    void blamesAnUndisturbedNodeThatServesNothing() {
        watch.disturbed(2, 0);
        answers(0, 200);
        answers(1, 503);
        Verdict verdict = watch.judge(NODES, VOTERS, END);
        assertThat(verdict.judged()).isEqualTo(2);
        assertThat(verdict.broken()).singleElement().asString().startsWith("again: node-1");
    }

    /** The node that was disturbed itself, and a deployment that has lost too many voters, are promised nothing. */
    @Test
    void judgesNothingBeyondToleratedLosses() {
        watch.disturbed(0, 0);
        watch.disturbed(1, 0);
        answers(2, 503);
        assertThat(watch.judge(NODES, VOTERS, END)).isEqualTo(new Verdict(0, List.of()));
    }

    /** A restart takes seconds: the time until the node serves must not count against the others. */
    @Test
    void waitsUntilARestartedNodeServes() {
        watch.disturbed(2, 0).ends(BOUND / 2);
        answers(0, 503);
        answers(1, 200);
        watch.answered(new Answer(200, "", true, false, BOUND + 1, 2, END - 1));
        assertThat(watch.judge(NODES, VOTERS, END).broken())
                .singleElement()
                .asString()
                .startsWith("again: node-0");
    }

    private void answers(int node, int status) {
        for (long at = 1; at < END; at += BOUND / 10) {
            watch.answered(new Answer(status, "", true, status != 200, at, node, at + 1));
        }
    }
}
