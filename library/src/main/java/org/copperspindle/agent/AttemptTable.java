package org.copperspindle.agent;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.copperspindle.verdict.NotRunVerdict;

/**
 * What an agent knows of attempts: running, ended and refused. Safeguard: a delayed or doubled order must not run an
 * attempt again, nor run one that was refused and reported {@code NOT_RUN}; enough, because an attempt id enters the
 * table before its order runs and a refusal is entered before it is sent.
 */
final class AttemptTable {

    private final Map<String, Attempt> attempts = new LinkedHashMap<>();
    private final int maxEntries;
    private int running;

    AttemptTable(int maxEntries) {
        this.maxEntries = maxEntries;
    }

    Optional<Attempt> find(String attemptId) {
        return Optional.ofNullable(attempts.get(attemptId));
    }

    Attempt start(AttemptOrderMessage order) {
        Attempt attempt = new Attempt(order.attemptId());
        attempts.put(order.attemptId(), attempt);
        running++;
        return attempt;
    }

    AttemptOutcomeMessage refuse(String attemptId, String reason, int inFlight) {
        Attempt attempt = new Attempt(attemptId);
        attempt.outcome = new AttemptOutcomeMessage(
                attemptId, new NotRunVerdict(reason), 0, "", new byte[0], false, 0, 0, inFlight, -1);
        attempts.put(attemptId, attempt);
        trim();
        return attempt.outcome;
    }

    void finish(Attempt attempt, AttemptOutcomeMessage outcome) {
        attempt.outcome = outcome;
        running--;
        trim();
    }

    void acknowledge(String attemptId) {
        Attempt attempt = attempts.get(attemptId);
        if (attempt != null && attempt.outcome != null) {
            attempt.acknowledged = true;
        }
    }

    int running() {
        return running;
    }

    private void trim() {
        Iterator<Attempt> oldest = attempts.values().iterator();
        while (attempts.size() > maxEntries && oldest.hasNext()) {
            Attempt attempt = oldest.next();
            if (attempt.outcome != null) {
                oldest.remove();
            }
        }
    }

    /** One attempt. */
    static final class Attempt {
        private final String attemptId;
        private AttemptOutcomeMessage outcome;
        private boolean acknowledged;
        private Runnable abort = () -> {};

        private Attempt(String attemptId) {
            this.attemptId = attemptId;
        }

        String attemptId() {
            return attemptId;
        }

        Optional<AttemptOutcomeMessage> outcome() {
            return Optional.ofNullable(outcome);
        }

        void abortWith(Runnable handle) {
            abort = handle;
        }

        void abort() {
            abort.run();
        }
    }
}
