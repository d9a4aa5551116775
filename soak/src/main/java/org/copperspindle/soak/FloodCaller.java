package org.copperspindle.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

import org.copperspindle.soak.PromiseBook.Answer;

/**
 * A caller of the largest account that keeps stage pools short: sends requests for streams with stages to one node, one
 * after the other.
 */
final class FloodCaller implements Runnable {

    private static final int MOST_PIECES = 4;

    /** All nodes together are asked for more than the stage pools run. */
    private static final int CALLERS_OF_A_NODE = 2;

    private static final int MOST_PAUSE_MILLIS = 150;

    /** Until it asks a node again that did not answer. */
    private static final int DOWN_MILLIS = 400;

    private final AtomicLong numbers;
    private final PromiseBook book;
    private final SoakCaller caller;
    private final SplittableRandom random;
    private volatile boolean ended;

    private FloodCaller(AtomicLong numbers, PromiseBook book, SoakCaller caller, long seed) {
        this.numbers = numbers;
        this.book = book;
        this.caller = caller;
        this.random = new SplittableRandom(seed);
    }

    /** Returns callers of each node, which are not started yet. */
    static List<FloodCaller> callers(AtomicLong numbers, List<NodePorts> nodes, PromiseBook book, long seed) {
        List<FloodCaller> callers = new ArrayList<>();
        for (NodePorts node : nodes) {
            for (int i = 0; i < CALLERS_OF_A_NODE; i++) {
                long own = seed - callers.size();
                SoakCaller caller = new SoakCaller(numbers, List.of(node), book, own);
                callers.add(new FloodCaller(numbers, book, caller, own));
            }
        }
        return callers;
    }

    void end() {
        ended = true;
    }

    @Override
    public void run() {
        while (!ended) {
            String route = random.nextBoolean() ? SoakRequest.DRAFT : SoakRequest.RESUME;
            int pieces = 1 + random.nextInt(MOST_PIECES);
            SoakRequest request = SoakRequest.of(numbers.incrementAndGet(), route, SoakOperator.LASTING, pieces)
                    .lengthened();
            Answer answer = caller.ask(request);
            book.answered(request, answer);
            Pause.millis(answer.status() == 0 ? DOWN_MILLIS : random.nextInt(MOST_PAUSE_MILLIS));
        }
    }
}
