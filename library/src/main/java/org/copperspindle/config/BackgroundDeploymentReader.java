package org.copperspindle.config;

import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import org.copperspindle.core.BackgroundThread;

/**
 * Reads on one background thread, which ends when it has nothing to do, and reports on the decision ring, in the order
 * of reading. Of the texts that arrive while one is read, only the last is read next, so that a burst of changes costs
 * one more reading and not one for each. The one in progress is reported all the same: were it dropped for each newer
 * one, changes that come faster than they are read would leave none in force, and the lease would run out.
 */
public final class BackgroundDeploymentReader implements DeploymentReader {

    /** One task waits at most: while a text waits, a later one takes its place and adds no task. */
    private static final int MAX_WAITING = 2;

    private final AtomicReference<WaitingText> next = new AtomicReference<>();
    private final Executor thread;
    private final Executor ring;
    private final DeploymentReader direct;

    /**
     * Creates a reader.
     *
     * @param ring where results are reported
     */
    public BackgroundDeploymentReader(Executor ring) {
        this(ring, DeploymentLoader::parse);
    }

    BackgroundDeploymentReader(Executor ring, DeploymentParser parser) {
        this.ring = ring;
        this.direct = new DirectDeploymentReader(parser);
        this.thread = BackgroundThread.create("config-reader", MAX_WAITING);
    }

    @Override
    public void read(long version, String text, Consumer<Optional<Deployment>> whenRead) {
        if (next.getAndSet(new WaitingText(version, text, whenRead)) == null) {
            thread.execute(this::readNext);
        }
    }

    private void readNext() {
        WaitingText current = next.getAndSet(null);
        direct.read(
                current.version(),
                current.text(),
                deployment -> ring.execute(() -> current.whenRead().accept(deployment)));
    }

    /** The newest text handed over that is not being read yet. */
    private record WaitingText(long version, String text, Consumer<Optional<Deployment>> whenRead) {}
}
