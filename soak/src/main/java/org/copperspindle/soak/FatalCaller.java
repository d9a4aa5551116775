package org.copperspindle.soak;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A caller whose one request ends each upstream that runs it. It sends that again and again, each time to any node, while
 * nodes are disturbed.
 */
final class FatalCaller implements Runnable {

    private static final long FIRST_MILLIS = 1000;
    private static final int MOST_PAUSE_MILLIS = 400;

    /** Keeps its draws apart from those of the plan, which stays what it is without this caller. */
    private static final long SEED_OFFSET = 0x5eed;

    private final AtomicLong numbers;
    private final List<NodePorts> nodes;
    private final PromiseBook book;
    private final SplittableRandom random;
    private final long endNanos;

    FatalCaller(AtomicLong numbers, List<NodePorts> nodes, PromiseBook book, SoakSettings settings) {
        this.numbers = numbers;
        this.nodes = nodes;
        this.book = book;
        this.random = new SplittableRandom(settings.seed() + SEED_OFFSET);
        this.endNanos = System.nanoTime() + settings.duration().toNanos();
    }

    @Override
    public void run() {
        Pause.millis(FIRST_MILLIS);
        while (System.nanoTime() < endNanos) {
            SoakRequest request = SoakRequest.of(numbers.incrementAndGet(), SoakRequest.SAFE, SoakOperator.LASTING, 0);
            SoakCaller caller = new SoakCaller(numbers, nodes, book, random.nextLong());
            book.answeredFatal(request, caller.askFatal(request));
            Pause.millis(random.nextInt(MOST_PAUSE_MILLIS));
        }
    }
}
