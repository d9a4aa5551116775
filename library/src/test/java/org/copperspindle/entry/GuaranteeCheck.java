package org.copperspindle.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks the responses to callers against the recorded executions, and counts the checks by guarantee. */
final class GuaranteeCheck {

    private static final long GRACE_NANOS = 1_000_000;

    private final SimulatedDeployment deployment;
    private final Map<String, Integer> checked = new TreeMap<>();

    GuaranteeCheck(SimulatedDeployment deployment) {
        this.deployment = deployment;
    }

    Map<String, Integer> checked() {
        return checked;
    }

    void checkAll() {
        deployment.callers().forEach(this::checkCaller);
        checkUnrepeatable();
        checkFirstOutcome();
        checkNothingLeft();
    }

    private void checkCaller(SimulatedCaller caller) {
        assertThat(caller.ends()).as("answers to " + caller.requestId()).isEqualTo(caller.left() ? caller.ends() : 1);
        assertThat(caller.ends()).isLessThanOrEqualTo(1);
        if (caller.ends() == 0) {
            return;
        }
        count("answered once, by the deadline");
        assertThat(caller.endedAt())
                .as("answer time of " + caller.requestId())
                .isLessThanOrEqualTo(caller.deadline() + GRACE_NANOS);
        if (caller.verdict().equals("NOT_RUN")) {
            count("NOT_RUN never ran");
            assertThat(deployment.executions().ranAttemptOf(caller.requestId()))
                    .as(caller.requestId() + " was told NOT_RUN")
                    .isFalse();
            checkKeyNeverRan(caller);
        }
        if (caller.successful()) {
            checkSuccess(caller);
        } else if (!caller.text().isEmpty()) {
            count("broken stream is a beginning");
            assertThat(SimulatedUpstream.fullText(caller.token())).startsWith(caller.text());
        }
    }

    /**
     * A caller that gets NOT_RUN for its own key takes a new one. So no earlier request with that key may have run, or
     * run later. A key conflict refers only to the body that was refused, since the key belongs to another one.
     */
    private void checkKeyNeverRan(SimulatedCaller caller) {
        if (!caller.pipeline().equals("install") || caller.hasGeneratedKey()) {
            return;
        }
        count("NOT_RUN to an own key, which never ran");
        boolean conflict = caller.reason().equals("key-conflict");
        int own = deployment.callers().indexOf(caller);
        List<String> earlier = deployment.callers().subList(0, own).stream()
                .filter(c -> c.key().equals(caller.key()) && c.pipeline().equals("install"))
                .filter(c -> !conflict || c.token().equals(caller.token()))
                .map(SimulatedCaller::requestId)
                .filter(deployment.executions()::ranAttemptOf)
                .toList();
        assertThat(earlier)
                .as("arrivals that ran under key %s of %s, told NOT_RUN", caller.key(), caller.requestId())
                .isEmpty();
    }

    private void checkSuccess(SimulatedCaller caller) {
        count("whole answer is its own");
        if (!caller.pipeline().equals("describe")) {
            assertThat(caller.body()).contains("\"token\":\"" + caller.token() + "\"");
            return;
        }
        String fullText = SimulatedUpstream.fullText(caller.token());
        assertThat(caller.body()).contains("\"output\":\"" + fullText + "\"");
        assertThat(caller.body()).contains("about " + caller.token());
        if (!caller.text().isEmpty()) {
            count("stream without gap or repeat");
            assertThat(caller.text()).isEqualTo(fullText);
        }
    }

    private void checkUnrepeatable() {
        Map<String, Set<String>> tokensByKey = deployment.callers().stream()
                .filter(c -> c.pipeline().equals("install"))
                .collect(Collectors.groupingBy(
                        SimulatedCaller::key, Collectors.mapping(SimulatedCaller::token, Collectors.toSet())));
        tokensByKey.forEach((key, tokens) -> {
            count("key ran at most once");
            int runs = tokens.stream().mapToInt(deployment.executions()::count).sum();
            assertThat(runs).as("executions of key " + key).isLessThanOrEqualTo(1);
        });
    }

    private void checkFirstOutcome() {
        Map<String, String> bodies = new HashMap<>();
        List<SimulatedCaller> successes = deployment.callers().stream()
                .filter(c -> c.pipeline().equals("install") && c.successful())
                .toList();
        for (SimulatedCaller caller : successes) {
            String first = bodies.putIfAbsent(caller.key(), caller.body());
            if (first != null) {
                count("resend got the first outcome");
                assertThat(caller.body()).as("outcome of key " + caller.key()).isEqualTo(first);
            }
            assertThat(deployment.executions().count(caller.token())).isEqualTo(1);
        }
    }

    private void checkNothingLeft() {
        for (SimulatedEntry entry : deployment.entries()) {
            assertThat(entry.driver().inProgress()).as("requests left").isZero();
            assertThat(entry.claims().pending()).as("claims left").isZero();
            for (String pool : List.of("retrievers", "engines", "gallery")) {
                entry.fleet()
                        .pool(pool)
                        .forEach(view -> assertThat(view.load())
                                .as("load left on " + pool)
                                .isZero());
            }
            count("entry holds nothing any more");
        }
    }

    private void count(String guarantee) {
        checked.merge(guarantee, 1, Integer::sum);
    }
}
