package org.copperspindle.agent;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.copperspindle.config.Priority;
import org.copperspindle.verdict.MayHaveRunVerdict;
import org.copperspindle.verdict.NotRunVerdict;
import org.copperspindle.verdict.RanVerdict;
import org.copperspindle.verdict.Verdict;
import org.copperspindle.wire.Peer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Random schedules over the attempt table with an independent record of executions. Orders, queries, cancellations and
 * acknowledgements are delayed, duplicated and reordered without bound; the agent restarts, pauses and drains; the
 * table is far too small. No attempt may run twice or run after it was reported NOT_RUN, and no response may belong to
 * another attempt.
 */
class AttemptTableScheduleTest {

    private static final int SCHEDULES = 40;
    private static final int STEPS = 1500;
    private static final long MILLI = 1000;
    private static final long MAX_DEADLINE = 10_000 * MILLI;
    private static final int KEPT_BYTES = 400;
    private static final int MAX_BODY = 100;
    private static final Duration RETENTION = Duration.ofSeconds(20);
    private static final Duration ABORT_GRACE = Duration.ofSeconds(2);

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void guaranteesHoldForEverySchedule(long seed) {
        SplittableRandom seeds = new SplittableRandom(seed);
        int checked = 0;
        for (int i = 0; i < SCHEDULES; i++) {
            Simulation simulation = new Simulation(seeds.split());
            simulation.run();
            checked += simulation.verdicts;
        }
        assertThat(checked).isGreaterThan(SCHEDULES * STEPS / 10);
    }

    /** Entries, network, upstream and recorded executions around one table. */
    private static final class Simulation {
        private final SplittableRandom random;
        private final AgentLimits limits;
        private final List<Peer> entries = List.of(new RecordingPeer(), new RecordingPeer(), new RecordingPeer());
        private final List<Request> requests = new ArrayList<>();
        private final List<Runnable> network = new ArrayList<>();
        private final Map<String, Integer> executions = new HashMap<>();
        private final Set<String> reportedNotRun = new HashSet<>();
        private final Set<String> running = new HashSet<>();
        private final Set<String> acknowledged = new HashSet<>();
        private final Map<String, Long> expires = new HashMap<>();
        private final Map<String, Long> endedAt = new HashMap<>();
        private final Map<String, Set<Peer>> unanswered = new HashMap<>();
        private long incarnation = 1;
        private long now = MILLI;
        private long pausedMicros;
        private AttemptTable table;
        private int verdicts;

        private Simulation(SplittableRandom random) {
            this.random = random;
            this.limits = new AgentLimits(
                    2,
                    3,
                    random.nextInt(6, 24),
                    KEPT_BYTES,
                    MAX_BODY,
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(3),
                    RETENTION,
                    ABORT_GRACE,
                    Duration.ZERO);
            this.table = new AttemptTable("up", incarnation, limits);
        }

        private void run() {
            for (int i = 0; i < STEPS; i++) {
                step();
                perform(table.onTick(clock()));
                checkBounds();
            }
            settle();
        }

        private void step() {
            now += random.nextLong(60 * MILLI);
            int event = random.nextInt(16);
            if (event < 3) {
                admit();
            } else if (event < 7) {
                deliver();
            } else if (event < 10) {
                endOne();
            } else if (event == 10) {
                query();
            } else if (event == 11) {
                acknowledge();
            } else if (event == 12) {
                cancel();
            } else if (event == 13) {
                drainOrResume();
            } else if (event == 14) {
                rare();
            } else {
                now += random.nextLong(1000 * MILLI);
            }
        }

        /** Admits a request at an entry and dispatches it at some time before its deadline, by the entry's clock. */
        private void admit() {
            long deadline = now + random.nextLong(500 * MILLI, MAX_DEADLINE);
            Request request = new Request("a" + requests.size(), incarnation, clock(), deadline, random.nextInt(3) > 0);
            requests.add(request);
            if (random.nextInt(6) == 0) {
                // Dispatched late: its order does not exist yet when others query it.
                network.add(() -> dispatch(request));
            } else {
                dispatch(request);
            }
        }

        private void dispatch(Request request) {
            if (now >= request.deadline() || request.incarnation() != incarnation) {
                return;
            }
            long reading = Math.max(1, clock() - random.nextLong(4000 * MILLI));
            // The other VM's clock drifts by half of the allowed rate, and did not pause when the agent's did.
            double drift = 1 + (random.nextDouble() - 0.5) / 100;
            long estimate = reading + (long) ((clock() - reading) * drift);
            StampedOrderMessage order = new StampedOrderMessage(
                    new AttemptOrderMessage(
                            request.id(),
                            "r",
                            "up",
                            request.incarnation(),
                            "/",
                            new byte[0],
                            false,
                            request.repeatable(),
                            Priority.values()[random.nextInt(3)],
                            0,
                            1),
                    estimate + request.deadline() - now + random.nextLong(2) * randomPause(),
                    reading);
            expires.put(request.id(), order.expiresAtMicros());
            Peer from = entry();
            for (int copies = 1 + random.nextInt(3); copies > 0; copies--) {
                network.add(() -> perform(table.onOrder(order, from, clock())));
            }
        }

        private long randomPause() {
            return pausedMicros == 0 ? 0 : random.nextLong(pausedMicros);
        }

        private void deliver() {
            for (int i = 0; i < 3 && !network.isEmpty(); i++) {
                // Mostly recent messages, sometimes one that has been in transit for long.
                int recent = random.nextInt(8) == 0 ? network.size() : Math.min(12, network.size());
                network.remove(network.size() - 1 - random.nextInt(recent)).run();
            }
        }

        private void endOne() {
            if (running.isEmpty()) {
                return;
            }
            List<String> ids = running.stream().sorted().toList();
            end(ids.get(random.nextInt(ids.size())), random.nextInt(8) > 0);
        }

        private void end(String id, boolean answered) {
            running.remove(id);
            Verdict verdict = answered ? RanVerdict.SUCCESS : new MayHaveRunVerdict("reset");
            byte[] body = answered ? body(id) : new byte[0];
            AttemptOutcomeMessage outcome =
                    new AttemptOutcomeMessage(id, verdict, 200, "", body, answered, 0, 0, 0, -1);
            if (answered) {
                endedAt.put(id, clock());
            }
            perform(table.onEnded(outcome, false, clock()));
        }

        private void query() {
            if (requests.isEmpty()) {
                return;
            }
            Request request = requests.get(random.nextInt(requests.size()));
            Peer from = entry();
            boolean knowsIncarnation = random.nextInt(5) > 0;
            OutcomeQueryMessage query = new OutcomeQueryMessage(
                    request.id(),
                    knowsIncarnation ? request.incarnation() : 0,
                    random.nextBoolean() ? request.reading() : 0,
                    !request.repeatable());
            network.add(() -> {
                unanswered.computeIfAbsent(request.id(), id -> new HashSet<>()).add(from);
                perform(table.onQuery(query, from, clock()));
                checkKept(request);
            });
        }

        /**
         * Checks that the response of unrepeatable work is kept while it is not acknowledged and its retention has not
         * passed.
         */
        private void checkKept(Request request) {
            Long ended = endedAt.get(request.id());
            boolean due = ended != null
                    && request.incarnation() == incarnation
                    && !request.repeatable()
                    && !acknowledged.contains(request.id())
                    && clock() < ended + limits.retentionMicros();
            if (due) {
                List<AgentAction> again = table.onQuery(
                        new OutcomeQueryMessage(request.id(), incarnation, request.reading(), true),
                        entries.get(0),
                        clock());
                AttemptOutcomeMessage kept = ((AgentAction.Send) again.get(0)).outcome();
                assertThat(kept.body()).as(request.id()).isEqualTo(body(request.id()));
                assertThat(kept.complete()).isTrue();
            }
        }

        private void acknowledge() {
            endedAt.keySet().stream()
                    .sorted()
                    .skip(random.nextInt(endedAt.size() + 1))
                    .findFirst()
                    .ifPresent(id -> {
                        acknowledged.add(id);
                        network.add(() -> table.onAcknowledge(id));
                    });
        }

        private void cancel() {
            if (!requests.isEmpty()) {
                String id = requests.get(random.nextInt(requests.size())).id();
                network.add(() -> perform(table.onCancel(id, clock())));
            }
        }

        private void drainOrResume() {
            Optional<String> reason = random.nextInt(3) == 0 ? Optional.of("draining") : Optional.empty();
            perform(table.onRefusing(reason, clock()));
        }

        private void rare() {
            int event = random.nextInt(8);
            if (event == 0) {
                restart();
            } else if (event == 1) {
                pauseAgent(random.nextLong(5000 * MILLI));
            } else if (event == 2) {
                perform(table.onConfiguration(1 + random.nextInt(3), MAX_DEADLINE, clock()));
            } else {
                now += random.nextLong(15_000 * MILLI);
            }
        }

        /** Pauses the agent's VM and its clock while everything else continues. */
        private void pauseAgent(long micros) {
            now += micros;
            pausedMicros += micros;
        }

        private void restart() {
            incarnation++;
            table = new AttemptTable("up", incarnation, limits);
            running.clear();
            endedAt.clear();
            unanswered.clear();
            pausedMicros = 0;
        }

        private void perform(List<AgentAction> actions) {
            for (AgentAction action : actions) {
                if (action instanceof AgentAction.Start start) {
                    String id = start.order().attemptId();
                    assertThat(executions.merge(id, 1, Integer::sum))
                            .as("runs of " + id)
                            .isEqualTo(1);
                    assertThat(reportedNotRun).as("runs after NOT_RUN").doesNotContain(id);
                    running.add(id);
                } else if (action instanceof AgentAction.Send send) {
                    check(send);
                } else if (action instanceof AgentAction.Abort abort) {
                    checkAbort(abort.attemptId());
                    end(abort.attemptId(), false);
                }
            }
        }

        private void check(AgentAction.Send send) {
            verdicts++;
            AttemptOutcomeMessage outcome = send.outcome();
            String id = outcome.attemptId();
            unanswered.getOrDefault(id, new HashSet<>()).remove(send.to());
            if (outcome.verdict() instanceof NotRunVerdict) {
                assertThat(executions).as("NOT_RUN after a run").doesNotContainKey(id);
                reportedNotRun.add(id);
            } else if (outcome.verdict() instanceof RanVerdict) {
                assertThat(executions).containsKey(id);
                if (outcome.complete()) {
                    assertThat(outcome.body()).as("foreign answer").isEqualTo(body(id));
                }
            }
        }

        private void checkAbort(String id) {
            Request request = requests.get(Integer.parseInt(id.substring(1)));
            if (!request.repeatable()) {
                assertThat(clock()).as("cut off").isGreaterThanOrEqualTo(expires.get(id) + limits.abortGraceMicros());
            }
        }

        private void checkBounds() {
            assertThat(table.size()).isLessThanOrEqualTo(limits.records());
            assertThat(table.waiting()).isLessThanOrEqualTo(limits.queue());
            assertThat(table.keptBytes()).isLessThanOrEqualTo(KEPT_BYTES + MAX_BODY);
            assertThat(table.running()).isEqualTo(running.size());
        }

        /**
         * Delivers all messages and ends all calls: then every query has been answered, and no record is kept for ever.
         */
        private void settle() {
            while (!network.isEmpty() || !running.isEmpty()) {
                deliver();
                List.copyOf(running).forEach(id -> end(id, true));
                perform(table.onTick(clock()));
            }
            unanswered.forEach(
                    (id, peers) -> assertThat(peers).as("asked for " + id).isEmpty());
            now += 3_600_000 * MILLI;
            perform(table.onTick(clock()));
            assertThat(table.size()).isZero();
            assertThat(table.keptBytes()).isZero();
        }

        private Peer entry() {
            return entries.get(random.nextInt(entries.size()));
        }

        private long clock() {
            return now - pausedMicros;
        }

        private static byte[] body(String id) {
            return (id + ";").repeat(MAX_BODY / (id.length() + 1)).getBytes();
        }
    }

    private record Request(String id, long incarnation, long reading, long deadline, boolean repeatable) {}
}
