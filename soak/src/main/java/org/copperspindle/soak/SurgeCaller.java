package org.copperspindle.soak;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

import org.copperspindle.soak.PromiseBook.Answer;

/**
 * A caller that opens a connection for each request, to the node that a leaning balancer picks.
 */
final class SurgeCaller implements Runnable {

    private static final int LEAST_PAUSE_MILLIS = 50;
    private static final int MOST_PAUSE_MILLIS = 150;

    private final AtomicLong numbers;
    private final PromiseBook book;
    private final SoakCaller caller;
    private final SplittableRandom random;
    private volatile boolean ended;

    SurgeCaller(AtomicLong numbers, List<NodePorts> nodes, PromiseBook book, LeaningBalancer balancer, long seed) {
        this.numbers = numbers;
        this.book = book;
        this.caller = new SoakCaller(numbers, nodes, book, seed).balancedBy(balancer);
        this.random = new SplittableRandom(seed);
    }

    void end() {
        ended = true;
    }

    @Override
    public void run() {
        while (!ended) {
            SoakRequest request = SoakRequest.of(numbers.incrementAndGet(), SoakRequest.SAFE, SoakOperator.LASTING, 0);
            Answer answer = caller.ask(request);
            book.answered(request, answer);
            book.surges().answered(answer);
            Pause.millis(LEAST_PAUSE_MILLIS + random.nextInt(MOST_PAUSE_MILLIS - LEAST_PAUSE_MILLIS));
        }
    }
}
