package org.copperspindle.soak;

import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A caller that asks for streams with stages, could wait long for them, and often leaves before.
 */
final class LeavingCaller implements Runnable {

    /** Time that the caller says it waits, and that the routes leave it. */
    static final int DEADLINE_MILLIS = 10_000;

    private static final int MOST_PIECES = 4;
    private static final int SHORTEST_WAIT_MILLIS = 300;
    private static final int LONGEST_WAIT_MILLIS = 9000;
    private static final int MOST_PAUSE_MILLIS = 100;

    private final AtomicLong numbers;
    private final PromiseBook book;
    private final SoakCaller caller;
    private final SplittableRandom random;
    private volatile boolean ended;

    LeavingCaller(AtomicLong numbers, PromiseBook book, SoakCaller caller, long seed) {
        this.numbers = numbers;
        this.book = book;
        this.caller = caller;
        this.random = new SplittableRandom(seed);
    }

    void end() {
        ended = true;
    }

    @Override
    public void run() {
        while (!ended) {
            String route = random.nextBoolean() ? SoakRequest.DRAFT : SoakRequest.RESUME;
            int pieces = 1 + random.nextInt(MOST_PIECES);
            SoakRequest request = SoakRequest.of(numbers.incrementAndGet(), route, SoakOperator.LASTING, pieces);
            int waits = SHORTEST_WAIT_MILLIS + random.nextInt(LONGEST_WAIT_MILLIS - SHORTEST_WAIT_MILLIS);
            book.answered(request, caller.askAndLeave(request, DEADLINE_MILLIS, waits));
            Pause.millis(random.nextInt(MOST_PAUSE_MILLIS));
        }
    }
}
