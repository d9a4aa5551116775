package org.copperspindle.soak;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A caller whose requests end each upstream that runs them: one request again and again, or different ones with one part of
 * their prompts in common. It sends them to any node, while nodes are disturbed.
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
    private final boolean byPart;

    /**
     * Creates a caller.
     *
     * @param numbers  numbers of requests
     * @param nodes    the nodes
     * @param book     told the answers
     * @param settings seed and duration
     * @param byPart   whether no two of its requests are alike, but for one part of their prompts
     */
    FatalCaller(AtomicLong numbers, List<NodePorts> nodes, PromiseBook book, SoakSettings settings, boolean byPart) {
        this.byPart = byPart;
        this.numbers = numbers;
        this.nodes = nodes;
        this.book = book;
        this.random = new SplittableRandom(settings.seed() + (byPart ? 2 * SEED_OFFSET : SEED_OFFSET));
        this.endNanos = System.nanoTime() + settings.duration().toNanos();
    }

    @Override
    public void run() {
        Pause.millis(FIRST_MILLIS);
        while (System.nanoTime() < endNanos) {
            SoakRequest request = SoakRequest.of(numbers.incrementAndGet(), SoakRequest.SAFE, SoakOperator.LASTING, 0);
            SoakCaller caller = new SoakCaller(numbers, nodes, book, random.nextLong());
            book.answeredFatal(request, byPart ? caller.askFatalPart(request) : caller.askFatal(request));
            Pause.millis(random.nextInt(MOST_PAUSE_MILLIS));
        }
    }
}
