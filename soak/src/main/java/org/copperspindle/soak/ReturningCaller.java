package org.copperspindle.soak;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.ToIntFunction;

import org.copperspindle.soak.PromiseBook.Answer;

/**
 * A caller of long streams that takes each of them up until it is whole, its deadline is over, or nothing has come for a
 * while: each time on a new connection to another node, after a pause that doubles or that the answer names.
 */
final class ReturningCaller implements Runnable {

    /** From the first request for a stream to the end of the last one. Also the timeout of the route. */
    static final int DEADLINE_MILLIS = 20_000;

    /** A stream that broke off, or did not begin, is given up after this. */
    private static final int COMES_BACK_MILLIS = 12_000;

    /** With less time the end of the deadline decides, not the nodes. */
    private static final int LEAST_JUDGED_MILLIS = 8000;

    private static final int FIRST_PAUSE_MILLIS = 150;
    private static final int LONGEST_PAUSE_MILLIS = 1600;
    private static final int THINK_MILLIS = 300;

    /** Of so many requests that take a stream up, one names a later request than the first. */
    private static final int LATER_NAMED = 5;

    private final AtomicLong numbers;
    private final PromiseBook book;
    private final ToIntFunction<String> enginesByVersion;
    private final boolean isPaced;
    private final SoakCaller connection;
    private final SplittableRandom random;
    private volatile boolean ended;

    /**
     * Creates a caller.
     *
     * @param engines returns how many engines of a version take requests
     * @param isPaced whether its streams last for seconds; others begin more often
     */
    ReturningCaller(
            AtomicLong numbers,
            List<NodePorts> nodes,
            PromiseBook book,
            ToIntFunction<String> engines,
            boolean isPaced,
            long seed) {
        this.numbers = numbers;
        this.book = book;
        this.enginesByVersion = engines;
        this.isPaced = isPaced;
        this.connection = new SoakCaller(numbers, nodes, book, seed);
        this.random = new SplittableRandom(~seed);
    }

    void end() {
        ended = true;
    }

    @Override
    public void run() {
        while (!ended) {
            stream();
            Pause.millis(random.nextInt(THINK_MILLIS));
        }
    }

    private void stream() {
        long deadline = System.currentTimeMillis() + DEADLINE_MILLIS;
        Map<Integer, String> events = new TreeMap<>();
        SoakRequest first = request();
        SoakRequest brought = first;
        ReturnLedger.Wait wait = new ReturnLedger.Wait(System.currentTimeMillis(), true);
        long pause = FIRST_PAUSE_MILLIS;
        while (!ended && System.currentTimeMillis() < Math.min(deadline, wait.from() + COMES_BACK_MILLIS)) {
            boolean begins = events.isEmpty();
            int held = begins ? 0 : Collections.max(events.keySet());
            first = begins ? request() : first;
            SoakRequest next = begins ? first : first.takenUp(held, numbers.incrementAndGet());
            SoakRequest named = random.nextInt(LATER_NAMED) == 0 ? brought : first;
            note(wait, events.get(held));
            Answer answer = connection.askElsewhere(next, named, deadline - System.currentTimeMillis());
            book.answered(next, answer);
            book.held().holds(first.id(), answer.text());
            book.returns().answered(answer, begins);
            Map<Integer, String> came = HeldStreams.events(answer.text());
            events.putAll(came);
            if (!came.isEmpty() || answer.isServed()) {
                book.returns().ended(wait.succeededAt(answer.firstAt()));
                brought = next;
                wait = new ReturnLedger.Wait(answer.endedAt(), false);
                pause = FIRST_PAUSE_MILLIS;
            } else {
                note(wait, events.get(held));
            }
            if (answer.isServed()) {
                return;
            }
            Pause.millis(Math.max(connection.retryAfterMillis(), pause / 2 + random.nextLong(pause)));
            pause = Math.min(2 * pause, LONGEST_PAUSE_MILLIS);
        }
        if (!ended && deadline - wait.from() >= LEAST_JUDGED_MILLIS) {
            book.returns().ended(wait.failedAt(System.currentTimeMillis()));
        }
    }

    private SoakRequest request() {
        SoakRequest request = SoakRequest.of(numbers.incrementAndGet(), SoakRequest.CHAT, SoakOperator.LASTING, 0);
        return isPaced ? request.paced() : request;
    }

    private void note(ReturnLedger.Wait wait, String version) {
        if (version != null) {
            wait.serving(enginesByVersion.applyAsInt(version));
        }
    }
}
