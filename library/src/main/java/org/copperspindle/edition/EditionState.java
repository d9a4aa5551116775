package org.copperspindle.edition;

import java.util.Optional;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.control.ControlResult;
import org.copperspindle.control.ReplicatedState;
import org.copperspindle.wire.MalformedFrameException;

/**
 * The newest accepted version. The highest one wins: a version that is not above the one held changes nothing, so that a
 * resent or overtaken change can be acknowledged without harm, and of two texts under one number the first stands.
 */
public final class EditionState implements ReplicatedState {

    /** A command that changes nothing; once it is committed, the state holds everything that was acknowledged before. */
    static final byte[] READ = new byte[0];

    private static final Logger LOGGER = LogManager.getLogger(EditionState.class);

    private final Consumer<EditionMessage> observer;
    private EditionMessage newest = new EditionMessage(0, new byte[0]);

    /**
     * Creates the state.
     *
     * @param observer told of each version that comes into force
     */
    public EditionState(Consumer<EditionMessage> observer) {
        this.observer = observer;
    }

    /**
     * Returns the newest version.
     *
     * @return empty if none was accepted yet
     */
    public Optional<EditionMessage> newest() {
        return newest.version() == 0 ? Optional.empty() : Optional.of(newest);
    }

    @Override
    public ControlResult apply(long index, long term, byte[] command) {
        if (command.length == 0) {
            return new ControlResult.ConfigAccepted(newest.version());
        }
        EditionMessage edition = decode(command);
        if (edition.version() > newest.version()) {
            LOGGER.info(
                    "event=version-committed version={} before={} index={} term={} bytes={}",
                    edition.version(),
                    newest.version(),
                    index,
                    term,
                    edition.text().length);
            newest = edition;
            observer.accept(edition);
        }
        return new ControlResult.ConfigAccepted(newest.version());
    }

    @Override
    public byte[] snapshot() {
        return EditionMessage.CODEC.encode(newest);
    }

    @Override
    public void restore(byte[] snapshot) {
        newest = decode(snapshot);
        if (newest.version() > 0) {
            observer.accept(newest);
        }
    }

    private static EditionMessage decode(byte[] bytes) {
        try {
            return EditionMessage.CODEC.decode(bytes);
        } catch (MalformedFrameException e) {
            // The log checks its records: these are the bytes that were proposed.
            throw new IllegalStateException(e);
        }
    }
}
