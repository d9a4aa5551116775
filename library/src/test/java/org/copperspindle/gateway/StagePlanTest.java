package org.copperspindle.gateway;

import java.util.List;

import org.copperspindle.route.RouteStage;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StagePlanTest {

    /** Stage 0 stands alone; stages 1, 2 and 3 follow each other. */
    private static final List<RouteStage> STAGES = List.of(
            new RouteStage("a", List.of(), 1),
            new RouteStage("a", List.of(), 1),
            new RouteStage("b", List.of(1), 1),
            new RouteStage("c", List.of(2), 1));

    @Test
    void stagesBeginWhenAllPiecesBeforeThemAreMade() {
        StagePlan plan = new StagePlan(STAGES, List.of(1, 2, 1, 1));
        assertThat(plan.begin()).containsExactly(0, 1);
        plan.made(1, 0, "h1");
        assertThat(plan.begin()).isEmpty();
        plan.made(1, 1, "h2");
        assertThat(plan.begin()).containsExactly(2);
        assertThat(plan.inputs(2)).containsExactly("h1", "h2");
        plan.made(2, 0, "h3");
        assertThat(plan.begin()).containsExactly(3);
        plan.made(3, 0, "h4");
        assertThat(plan.isComplete()).isFalse();
        plan.made(0, 0, "h0");
        assertThat(plan.isComplete()).isTrue();
        assertThat(plan.results()).containsExactly("h0", "h4");
    }

    @Test
    void stageWithoutPiecesIsLeftOut() {
        StagePlan plan = new StagePlan(STAGES, List.of(0, 1, 1, 1));
        assertThat(plan.begin()).containsExactly(1);
        plan.made(1, 0, "h1");
        assertThat(plan.begin()).containsExactly(2);
        plan.made(2, 0, "h2");
        assertThat(plan.begin()).containsExactly(3);
        plan.made(3, 0, "h3");
        assertThat(plan.results()).containsExactly("h3");
    }

    @Test
    void requestWithoutAnyPiecesIsCompleteAtOnce() {
        StagePlan plan = new StagePlan(STAGES, List.of());
        assertThat(plan.begin()).isEmpty();
        assertThat(plan.isComplete()).isTrue();
        assertThat(plan.results()).isEmpty();
    }

    /** Results hold memory: each may go as soon as the stage behind it is made, the last ones with the request. */
    @Test
    void resultsAreFreedOnceNobodyNeedsThem() {
        StagePlan plan = new StagePlan(STAGES, List.of(1, 1, 1, 1));
        plan.begin();
        plan.made(0, 0, "h0");
        plan.made(1, 0, "h1");
        assertThat(plan.takeFreeable(false)).isEmpty();
        plan.begin();
        plan.made(2, 0, "h2");
        assertThat(plan.takeFreeable(false)).containsExactly(1);
        assertThat(plan.takeFreeable(true)).containsExactly(0, 2);
        assertThat(plan.takeFreeable(true)).isEmpty();
    }

    @Test
    void finishFollowsTheLongestChain() {
        StagePlan plan = new StagePlan(STAGES, List.of(1, 1, 1, 1));
        assertThat(plan.finish((stage, begin) -> stage == 0 ? 100 : 10)).isEqualTo(100);
        assertThat(plan.finish((stage, begin) -> 10)).isEqualTo(30);
        assertThat(plan.finish((stage, begin) -> Math.max(0, 50 - begin))).isEqualTo(50);
        assertThat(plan.longestAfter(1, stage -> 10)).isEqualTo(20);
    }
}
