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
 * Keeps this node's member of the control group at work. A member stops when its disk fails, for it must not promise what
 * it can't keep; but a disk that was full for a few seconds works again, and a member that stayed away would leave the
 * group one loss short of its quorum. So it is opened again until that succeeds, from what its disk holds. What the disk
 * has damaged is dropped, and the member joins as a new one. Runs on the decision ring.
 */
public final class MemberSupervisor implements AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(MemberSupervisor.class);

    /** A stopped member is noticed and opened again this often: well within the time that a repair may take. */
    private static final long LOOK_NANOS = Duration.ofMillis(500).toNanos();

    private final TimerService timers;
    private final MemberOpener opener;
    private final Consumer<VersionMember> opened;
    private Optional<VersionMember> member = Optional.empty();
    private volatile boolean closed;

    /**
     * Creates a keeper without a member.
     *
     * @param timers time on the decision ring
     * @param opener opens members
     * @param opened told of each member that was opened
     */
    public MemberSupervisor(TimerService timers, MemberOpener opener, Consumer<VersionMember> opened) {
        this.timers = timers;
        this.opener = opener;
        this.opened = opened;
    }

    /** Opens the member, and again whenever it has stopped. */
    public void start() {
        if (closed) {
            return;
        }
        if (member.filter(VersionMember::isRunning).isEmpty()) {
            open();
        }
        timers.schedule(LOOK_NANOS, this::start);
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
            opener.dropRecords();
        } catch (IOException e) {
            LOGGER.warn("event=records-not-dropped action=tried-again reason=\"{}\"", e.toString());
        }
    }

    /** Opens members of one node. */
    public interface MemberOpener {

        /**
         * Opens the member from what its disk holds.
         *
         * @return the member
         * @throws CorruptLogException if what it had synced is damaged
         * @throws IOException         if the disk fails
         */
        VersionMember open() throws IOException;

        /**
         * Deletes what the disk holds, so that the next member begins as a new one.
         *
         * @throws IOException if the disk fails
         */
        void dropRecords() throws IOException;
    }
}
