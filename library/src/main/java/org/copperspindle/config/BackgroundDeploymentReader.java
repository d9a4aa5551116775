package org.copperspindle.config;

import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import org.copperspindle.core.BackgroundThread;

/**
 * Parses deployments on a single background thread, which exits when idle, and delivers the results on the decision
 * ring in the order of parsing. Texts that arrive during a parse are coalesced: only the latest is parsed next, so that
 * a burst of changes costs one more parse instead of one per change. The parse in progress is always delivered: if a
 * newer text cancelled it, changes that arrive faster than they are parsed would leave no version in force, and the
 * member's lease would expire.
 */
public final class BackgroundDeploymentReader implements DeploymentReader {

    /** At most one task is queued: a later text replaces the queued one without adding a task. */
    private static final int MAX_QUEUED = 2;

    private final AtomicReference<PendingText> pending = new AtomicReference<>();
    private final Executor executor;
    private final Executor ring;
    private final DeploymentReader direct;

    /**
     * Creates a reader.
     *
     * @param ring executor on which results are delivered
     */
    public BackgroundDeploymentReader(Executor ring) {
        this(ring, DeploymentLoader::parse);
    }

    BackgroundDeploymentReader(Executor ring, DeploymentParser parser) {
        this.ring = ring;
        this.direct = new DirectDeploymentReader(parser);
        this.executor = BackgroundThread.create("config-reader", MAX_QUEUED);
    }

    @Override
    public void read(long version, String text, Consumer<Optional<Deployment>> callback) {
        if (pending.getAndSet(new PendingText(version, text, callback)) == null) {
            executor.execute(this::parsePending);
        }
    }

    private void parsePending() {
        PendingText current = pending.getAndSet(null);
        direct.read(
                current.version(),
                current.text(),
                deployment -> ring.execute(() -> current.callback().accept(deployment)));
    }

    /** The latest submitted text that is not being parsed yet. */
    private record PendingText(long version, String text, Consumer<Optional<Deployment>> callback) {}
}
