package org.copperspindle.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Waiting requests by priority, fair share of the accounts and latest start. Requests that can be on time start first,
 * and are refused as soon as the work ahead of them takes longer than they can wait. Late requests start while the
 * pools are nearly idle; those of callers that were refused before wait for that, the others are refused.
 */
final class PriorityStartQueue implements StartQueue {

    /**
     * Longest wait at a pool, in full calls, up to which timely requests start. Upstreams then have full calls waiting;
     * at half a call some are idle while pieces are under way, and results that wait for much more than a call fill
     * the memory of their producers.
     */
    private static final double START_CALLS = 1.2;

    /**
     * Part of the slack of more urgent requests that queueing may use before less urgent ones wait: with all of it,
     * the next urgent request could only just be on time if no estimate were wrong.
     */
    private static final double URGENT_SLACK_FRACTION = 0.5;

    /**
     * Longest wait at a pool, in full calls, up to which timely requests of an account above its share start. The rest
     * up to {@link #START_CALLS} is left to the other accounts, whose requests would be late behind more of it.
     */
    private static final double ABOVE_SHARE_START_CALLS = 0.5;

    /** Longest wait at a pool, in full calls, up to which late requests start: less than a timely request would notice. */
    private static final double LATE_START_CALLS = 1.0 / 3;

    /**
     * Part of the time that a late request has waited by which the wait at its pools may be longer: under a lasting load
     * pools are never idle, and its caller would be refused a second time after a long wait.
     */
    private static final double LATE_START_GROWTH = 0.1;

    /** Interval at which the work ahead of all requests is computed: refusals needn't be sent sooner. */
    private static final long SWEEP_NANOS = Duration.ofMillis(20).toNanos();

    private final RetryBookings bookings;
    private final Map<Key, StartRequest> arrivals = new LinkedHashMap<>();
    private final Map<Key, WaitingStart> waiting = new HashMap<>();
    private final UrgentRequestKinds urgentKinds = new UrgentRequestKinds();
    private final RankedStarts timely = new RankedStarts();
    private final RankedStarts late = new RankedStarts();
    private final AccountWork accounts = new AccountWork();
    private long sweptAt;
    private boolean anySwept;

    /**
     * Creates an empty queue.
     *
     * @param random spreads the retries of refused callers
     */
    PriorityStartQueue(RandomGenerator random) {
        this.bookings = new RetryBookings(random);
    }

    @Override
    public void add(StartRequest request, long now) {
        cancel(request.node(), request.id());
        arrivals.put(Key.of(request), request);
    }

    @Override
    public void cancel(String node, long id) {
        Key key = new Key(node, id);
        arrivals.remove(key);
        Optional.ofNullable(waiting.get(key)).ifPresent(this::remove);
    }

    @Override
    public void forget(String node) {
        arrivals.keySet().removeIf(key -> key.node().equals(node));
        List.copyOf(waiting.values()).stream()
                .filter(each -> each.start().node().equals(node))
                .forEach(this::remove);
    }

    @Override
    public List<StartDecision> decide(StartForecast forecast, long now) {
        forecast.beginRound();
        try {
            return decideRound(forecast, now);
        } finally {
            forecast.endRound();
        }
    }

    @Override
    public int size() {
        return arrivals.size() + waiting.size();
    }

    private List<StartDecision> decideRound(StartForecast forecast, long now) {
        Round round = new Round(forecast, now);
        round.enrol();
        boolean sweeps = !anySwept || now - sweptAt >= SWEEP_NANOS;
        if (sweeps) {
            accounts.update(now);
        }
        round.startTimely();
        if (sweeps) {
            anySwept = true;
            sweptAt = now;
            round.sweepTimely();
            round.sweepLate();
        }
        round.startLate();
        round.refuseLateFirstAttempts();
        round.refuseBeyondMaximum();
        return round.decisions;
    }

    private void remove(WaitingStart each) {
        waiting.remove(Key.of(each.start()));
        if (!timely.remove(each)) {
            late.remove(each);
        }
    }

    private record Key(String node, long id) {
        private static Key of(StartRequest request) {
            return new Key(request.node(), request.id());
        }
    }

    /** One round of decisions. */
    private final class Round {
        private final StartForecast forecast;
        private final long now;
        private final List<StartDecision> decisions = new ArrayList<>();
        private final List<WaitingStart> lateFirstAttempts = new ArrayList<>();

        private Round(StartForecast forecast, long now) {
            this.forecast = forecast;
            this.now = now;
        }

        private void enrol() {
            arrivals.forEach((key, request) -> {
                WaitingStart each = new WaitingStart(request, forecast, now);
                waiting.put(key, each);
                urgentKinds.observe(each.request());
                WorkAhead.pools(each.request())
                        .forEach(pool -> accounts.request(
                                pool,
                                each.request().accountName(),
                                request.weight(),
                                forecast.costNanos(each.request(), pool),
                                now));
                if (each.isTimely(forecast.queueingNanos(each.request()), now)) {
                    timely.add(each);
                } else {
                    addLate(each);
                }
            });
            arrivals.clear();
        }

        private void startTimely() {
            Set<String> fullPools = new HashSet<>();
            Set<Integer> heldRanks = new HashSet<>();
            Set<String> heldAccounts = new HashSet<>();
            Optional<WaitingStart> next = nextOf(timely, fullPools, heldRanks, heldAccounts);
            while (next.isPresent()) {
                WaitingStart each = next.get();
                long queueing = forecast.queueingNanos(each.request());
                if (!each.isTimely(queueing, now)) {
                    timely.remove(each);
                    addLate(each);
                } else if (!isIdle(each) && isKeptForUrgent(each.request()) && !timely.hasCredit(each)) {
                    heldRanks.add(each.request().rank());
                } else if (isAboveShare(each)
                        && forecast.longestWaitNanos(each.request())
                                > ABOVE_SHARE_START_CALLS * forecast.fullCallNanos(each.request())) {
                    heldAccounts.add(each.request().accountName());
                } else if (forecast.longestWaitNanos(each.request())
                        <= START_CALLS * forecast.fullCallNanos(each.request())) {
                    timely.serve(each);
                    start(each);
                } else {
                    fullPools.addAll(WorkAhead.pools(each.request()));
                }
                next = nextOf(timely, fullPools, heldRanks, heldAccounts);
            }
        }

        /** Refuses requests that can't be on time behind those before them, so that their callers know at once. */
        private void sweepTimely() {
            WorkAhead work = new WorkAhead(forecast);
            for (WaitingStart each : timely.inOrder()) {
                long queueing = work.queueingNanos(each.request());
                if (each.isTimely(queueing + work.aheadNanos(each.request()), now)) {
                    work.add(each.request());
                } else if (!each.request().retried()) {
                    refuse(each);
                } else if (!each.isTimely(queueing, now)) {
                    timely.remove(each);
                    late.add(each);
                }
            }
        }

        private void sweepLate() {
            WorkAhead work = new WorkAhead(forecast);
            for (WaitingStart each : late.inOrder()) {
                if (!each.isUseful(now)) {
                    refuse(each);
                } else if (each.isTimely(work.queueingNanos(each.request()), now)) {
                    late.remove(each);
                    timely.add(each);
                }
            }
        }

        private void startLate() {
            Set<String> busyPools = new HashSet<>();
            Optional<WaitingStart> next = nextOf(late, busyPools, Set.of(), Set.of());
            while (next.isPresent()) {
                WaitingStart each = next.get();
                if (!each.isUseful(now)) {
                    refuse(each);
                } else if (mayStartLate(each)) {
                    late.serve(each);
                    start(each);
                } else {
                    busyPools.addAll(WorkAhead.pools(each.request()));
                }
                next = nextOf(late, busyPools, Set.of(), Set.of());
            }
        }

        /** A late request takes no room that a timely one of its rank or a more urgent one waits for. */
        private boolean mayStartLate(WaitingStart each) {
            if (timely.hasRankUpTo(each.request().rank())) {
                return false;
            }
            double longest = LATE_START_CALLS * forecast.fullCallNanos(each.request())
                    + LATE_START_GROWTH * each.waitedNanos(now);
            return isIdle(each) || forecast.longestWaitNanos(each.request()) < longest;
        }

        private void refuseLateFirstAttempts() {
            lateFirstAttempts.stream()
                    .filter(each -> waiting.get(Key.of(each.start())) == each)
                    .forEach(this::refuse);
        }

        /** Late requests are refused before timely ones, and among them the least urgent that come last. */
        private void refuseBeyondMaximum() {
            while (waiting.size() > MAX_WAITING) {
                refuse(late.last().or(timely::last).orElseThrow());
            }
        }

        private Optional<WaitingStart> nextOf(
                RankedStarts starts,
                Set<String> excludedPools,
                Set<Integer> excludedRanks,
                Set<String> excludedAccounts) {
            boolean noneExcluded = excludedPools.isEmpty() && excludedRanks.isEmpty() && excludedAccounts.isEmpty();
            return starts.next(each -> noneExcluded
                    || isIdle(each)
                    || !excludedRanks.contains(each.request().rank())
                            && !excludedAccounts.contains(each.request().accountName())
                            && excludedPools.stream().noneMatch(each.request()::needsPool));
        }

        private boolean isAboveShare(WaitingStart each) {
            String account = each.request().accountName();
            return WorkAhead.pools(each.request()).stream().anyMatch(pool -> accounts.isAboveShare(pool, account));
        }

        /** Returns whether nothing waits at the pools of a request, so that its start takes capacity from no other. */
        private boolean isIdle(WaitingStart each) {
            return forecast.longestWaitNanos(each.request()) <= 0;
        }

        /**
         * Returns whether the queueing has used up so much of the slack of a more urgent kind of request that a less
         * urgent one should wait. Without this the kind with the longest objective fills the pools until only it can
         * be on time.
         */
        private boolean isKeptForUrgent(StagedRequest request) {
            return urgentKinds.moreUrgentThan(request, now).stream()
                    .filter(urgent -> WorkAhead.pools(urgent).stream().anyMatch(request::needsPool))
                    .anyMatch(urgent -> {
                        long slack = urgent.route().objective().toNanos() - forecast.shortestNanos(urgent);
                        return slack > 0 && forecast.queueingNanos(urgent) > URGENT_SLACK_FRACTION * slack;
                    });
        }

        private void addLate(WaitingStart each) {
            late.add(each);
            if (!each.request().retried()) {
                lateFirstAttempts.add(each);
            }
        }

        private void start(WaitingStart each) {
            waiting.remove(Key.of(each.start()));
            forecast.recordStart(each.request());
            WorkAhead.pools(each.request())
                    .forEach(pool -> accounts.start(
                            pool, each.request().accountName(), forecast.costNanos(each.request(), pool), now));
            decisions.add(new StartDecision.Start(each.start()));
        }

        private void refuse(WaitingStart each) {
            remove(each);
            long left = each.request().callerTimeoutAt() - now;
            // Callers retry once, so a second refusal needs no booked time.
            Duration delay =
                    each.request().retried() ? bookings.unbooked(left) : bookings.book(each.costNanos(), left, now);
            decisions.add(new StartDecision.Refuse(each.start(), delay));
        }
    }
}
