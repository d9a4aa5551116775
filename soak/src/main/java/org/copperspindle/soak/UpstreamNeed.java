package org.copperspindle.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;

import org.copperspindle.dialect.HeaderNames;
import org.copperspindle.http.HeaderField;

/**
 * The needs of a stand-in, which come and go by lot: for some seconds it names how many requests it takes, for some it turns all away and
 * asks for rest. Counts what it gets, and tells when that is more than it asked for.
 */
final class UpstreamNeed {

    /** Never in need. */
    static final UpstreamNeed NONE = new UpstreamNeed(new Random(0), 0, 0, 0);

    private static final String RETRY_AFTER = "Retry-After";
    private static final int CALM_MILLIS = 2000;
    private static final int LIMITED_MILLIS = 9000;
    private static final int REST_MILLIS = 1500;
    private static final int MOST_PER_SECOND = 4;

    /** Nodes have so long to tell each other of a limit. */
    private static final long CONTACT_MILLIS = 3000;

    /** Nodes have so long to read an answer. */
    private static final long READ_MILLIS = 500;

    private static final long WINDOW_MILLIS = 4000;
    private static final double WINDOW_SECONDS = 4;
    private static final double OVERAGE = 1.5;
    private static final int SLACK = 5;

    /** Requests that a node may have under way when it is asked for rest. */
    private static final int UNDER_WAY = 2;

    private final Random random;
    private final int nodes;
    private final long until;
    private final ArrivalWindow arrivals = new ArrivalWindow(WINDOW_MILLIS);
    private State state = State.CALM;
    private long since;
    private long stateUntil;
    private int perSecond;
    private int resting;

    private UpstreamNeed(Random random, int nodes, long from, long until) {
        this.random = random;
        this.nodes = nodes;
        this.until = until;
        this.stateUntil = from + random.nextInt(CALM_MILLIS);
    }

    /** Returns needs that come and go until a moment. */
    static UpstreamNeed between(long from, long until, int nodes, Random random) {
        return new UpstreamNeed(random, nodes, from, until);
    }

    /** Counts a request; returns what is broken by it. */
    synchronized Optional<String> arrives(long now) {
        advance(now);
        // What comes sooner may be of nodes that nobody has told yet.
        int count = now - since > READ_MILLIS ? arrivals.add(now) : 0;
        boolean judged = state == State.LIMITED && now - since > CONTACT_MILLIS;
        if (judged && count > most()) {
            return Optional.of("limit: " + count + " requests in four seconds at " + perSecond + " a second");
        }
        if (state == State.RESTING && now - since > READ_MILLIS && ++resting > nodes * UNDER_WAY) {
            return Optional.of("rest: " + resting + " requests of " + nodes + " nodes while it rests");
        }
        return Optional.empty();
    }

    /** Returns what its answers say now. */
    synchronized List<HeaderField> fields(long now) {
        List<HeaderField> fields = new ArrayList<>();
        if (state == State.LIMITED) {
            fields.add(new HeaderField(HeaderNames.STANDARD.limit(), Integer.toString(perSecond)));
        } else if (state == State.RESTING) {
            double seconds = Math.max(0, stateUntil - now) / 1000.0;
            fields.add(new HeaderField(RETRY_AFTER, String.format(Locale.ROOT, "%.3f", seconds)));
        }
        return fields;
    }

    synchronized boolean turnsAway() {
        return state == State.RESTING;
    }

    private int most() {
        return (int) (OVERAGE * perSecond * WINDOW_SECONDS) + SLACK;
    }

    /** Its state begins with the request that meets it, so that somebody is told of it from the start. */
    private void advance(long now) {
        if (now < stateUntil) {
            return;
        }
        state = now >= until ? State.CALM : State.values()[(state.ordinal() + 1) % State.values().length];
        since = now;
        resting = 0;
        arrivals.clear();
        perSecond = 1 + random.nextInt(MOST_PER_SECOND);
        stateUntil = now + state.millis;
    }

    /** What it is in need of. */
    private enum State {
        CALM(CALM_MILLIS),
        LIMITED(LIMITED_MILLIS),
        RESTING(REST_MILLIS);

        private final int millis;

        State(int millis) {
            this.millis = millis;
        }
    }
}
