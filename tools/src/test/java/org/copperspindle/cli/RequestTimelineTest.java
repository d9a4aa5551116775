package org.copperspindle.cli;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class RequestTimelineTest {

    /**
     * A request is admitted at one node, and another node, whose clock is two seconds behind or ahead, dispatches its
     * stage call. The upstream of the request was under suspicion before. The lines must come in the actual order.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, -2000, 2000})
    void ordersLinesOfProcessesWithDifferentClocks(long skew) {
        List<LogLine> lines = lines(
                "a ts=10500 level=WARN logger=X event=upstream-suspected upstream=u failures=2",
                "a ts=11000 level=INFO logger=X event=request-admitted request=r1 route=x",
                "b ts=" + (11100 + skew) + " level=INFO logger=X event=stage-call pool=s requests=[r0, r1]",
                "a ts=11500 level=INFO logger=X event=attempt-sent request=r1 upstream=u",
                "a ts=11600 level=INFO logger=X event=request-ended request=r1 outcome=status-200",
                "a ts=11700 level=INFO logger=X event=request-admitted request=r11 route=x",
                "c ts=11200 level=INFO logger=X event=upstream-suspected upstream=u failures=9",
                "java.io.IOException: not a line");
        assertThat(RequestTimeline.of("r1", lines).print())
                .extracting(line -> line.replaceAll(".*event=(\\S+).*", "$1"))
                .containsExactly(
                        "upstream-suspected", "request-admitted", "stage-call", "attempt-sent", "request-ended");
    }

    @Test
    void refusalWithoutALeaseIncludesTheLossOfTheLease() {
        List<LogLine> lines = lines(
                "  12.0 node-1 ts=5000 level=WARN logger=X event=lease-lost version=4 reason=expired",
                "  12.1 node-1 ts=5100 level=INFO logger=X event=request-refused request=r status=503 reason=no-lease",
                "  12.2 node-2 ts=5050 level=WARN logger=X event=lease-lost version=4 reason=expired");
        assertThat(RequestTimeline.of("r", lines).print()).hasSize(2).allMatch(line -> line.contains("node-1"));
    }

    /**
     * The controller knows a request by the id of its start request only. Without its line nobody could tell why the
     * request was refused. Decisions on other requests would mislead.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, -2000, 2000})
    void showsTheDecisionOfTheController(long skew) {
        List<LogLine> lines = lines(
                "a ts=11000 level=INFO logger=X event=request-admitted request=r1 route=x",
                "a ts=11001 level=INFO logger=X event=gate-hold request=r1 start_id=77 decided_by=controller",
                "c ts=" + (11200 + skew) + " level=INFO logger=X event=admission-decided start_id=77 verdict=refuse",
                "c ts=" + (11201 + skew) + " level=INFO logger=X event=admission-decided start_id=777 verdict=start",
                "a ts=11300 level=INFO logger=X event=gate-refuse request=r1 start_id=77 decided_by=controller",
                "a ts=11300 level=INFO logger=X event=request-ended request=r1 outcome=stages-full");
        assertThat(RequestTimeline.of("r1", lines).print())
                .extracting(line -> line.replaceAll(".*event=(\\S+).*", "$1"))
                .containsExactly("request-admitted", "gate-hold", "admission-decided", "gate-refuse", "request-ended");
    }

    @Test
    void unknownRequestHasNoLines() {
        assertThat(RequestTimeline.of("r", lines("a ts=1 level=INFO logger=X event=request-ended request=s"))
                        .isEmpty())
                .isTrue();
    }

    private static List<LogLine> lines(String... texts) {
        return Stream.of(texts)
                .map(text -> LogLine.parse(text, "file"))
                .flatMap(Optional::stream)
                .toList();
    }
}
