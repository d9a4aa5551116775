package org.copperspindle.version;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.consensus.CorruptLogException;
import org.copperspindle.time.TimerService;

/**
 * Keeps this node's member of the control group running. A member stops when its disk fails, because it must not
 * acknowledge what it cannot store. A disk that was full for a few seconds recovers, however, and a member that
 * stayed stopped would leave the group one failure closer to losing its quorum. The supervisor therefore reopens the
 * member from its disk until that succeeds. Damaged records are dropped, and the member joins as a new one. Runs on
 * the decision ring.
 */
public final class MemberSupervisor implements AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(MemberSupervisor.class);

    /** Interval at which a stopped member is detected and reopened; well within the time allowed for a repair. */
    private static final long CHECK_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

    private final TimerService timers;
    private final MemberOpener opener;
    private final Consumer<VersionMember> opened;
    private Optional<VersionMember> member = Optional.empty();
    private volatile boolean closed;

    /**
     * Creates a supervisor without a member.
     *
     * @param timers timers of the decision ring
     * @param opener opens members
     * @param opened called with each opened member
     */
    public MemberSupervisor(TimerService timers, MemberOpener opener, Consumer<VersionMember> opened) {
        this.timers = timers;
        this.opener = opener;
        this.opened = opened;
    }

    /** Opens the member, and reopens it whenever it has stopped. */
    public void start() {
        if (closed) {
            return;
        }
        if (member.filter(VersionMember::isRunning).isEmpty()) {
            open();
        }
        timers.schedule(CHECK_INTERVAL_NANOS, this::start);
    }

    @Override
    public void close() {
        closed = true;
        member.ifPresent(VersionMember::close);
    }

    private void open() {
        member.ifPresent(stopped -> {
            LOGGER.warn("event=member-stopped action=opened-again");
            stopped.close();
        });
        member = Optional.empty();
        try {
            member = Optional.of(opener.open());
            member.ifPresent(opened);
        } catch (CorruptLogException e) {
            LOGGER.error("event=member-damaged action=joins-as-new reason=\"{}\"", e.getMessage());
            dropDamaged();
        } catch (IOException | RuntimeException e) {
            LOGGER.warn("event=member-not-opened action=tried-again reason=\"{}\"", e.toString());
        }
    }

    private void dropDamaged() {
        try {
            opener.deleteRecords();
        } catch (IOException e) {
            LOGGER.warn("event=records-not-dropped action=tried-again reason=\"{}\"", e.toString());
        }
    }

    /** Opens members of one node. */
    public interface MemberOpener {

        /**
         * Opens the member from its disk.
         *
         * @return the member
         * @throws CorruptLogException if synced records are damaged
         * @throws IOException if the disk fails
         */
        VersionMember open() throws IOException;

        /**
         * Deletes the records on disk, so that the next member starts as a new one.
         *
         * @throws IOException if the disk fails
         */
        void deleteRecords() throws IOException;
    }
}
