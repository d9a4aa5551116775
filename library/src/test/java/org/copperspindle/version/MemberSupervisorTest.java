package org.copperspindle.version;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.copperspindle.consensus.CorruptLogException;
import org.copperspindle.control.ProposalResult;
import org.copperspindle.control.ReplicatedLog;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.time.SuspensionDetector;
import org.copperspindle.time.VirtualTimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class MemberSupervisorTest {

    private static final long MILLI = 1_000_000L;

    private final VirtualTimerService time = new VirtualTimerService();
    private final DecisionRing ring = new DecisionRing("test", 64);
    private final Deque<IOException> failures = new ArrayDeque<>();
    private final List<StoppableLog> logs = new ArrayList<>();
    private final List<VersionMember> opened = new ArrayList<>();
    private int drops;
    private final MemberSupervisor supervisor = new MemberSupervisor(time, new Opener(), opened::add);

    @AfterEach
    void close() {
        ring.close();
    }

    /**
     * The disk of a control member is full for three seconds. The member stops, and the first attempts to reopen it
     * fail. It must be reopened later: once a second member is lost, the group could not accept changes without it.
     */
    @Test
    void memberIsReopenedWhenItsDiskRecovers() {
        supervisor.start();
        assertThat(opened).hasSize(1);
        logs.get(0).running = false;
        failures.add(new IOException("No space left on device"));
        failures.add(new IOException("No space left on device"));
        time.advance(1100 * MILLI);
        assertThat(opened).hasSize(1);
        assertThat(logs.get(0).closed).isTrue();
        time.advance(1000 * MILLI);
        assertThat(opened).hasSize(2);
        time.advance(5000 * MILLI);
        assertThat(opened).as("left alone while it runs").hasSize(2);
    }

    /** The acknowledged records of a member are damaged: it must return as a new member without any. */
    @Test
    void damagedRecordsAreDroppedBeforeTheNextMember() {
        failures.add(new CorruptLogException(Path.of("log"), 7, "bad record"));
        supervisor.start();
        assertThat(drops).isEqualTo(1);
        assertThat(opened).isEmpty();
        time.advance(600 * MILLI);
        assertThat(opened).hasSize(1);
        assertThat(drops).isEqualTo(1);
    }

    @Test
    void closedSupervisorOpensNothing() {
        supervisor.start();
        supervisor.close();
        assertThat(logs.get(0).closed).isTrue();
        time.advance(5000 * MILLI);
        assertThat(opened).hasSize(1);
    }

    /** Throws the queued failures, then opens members. */
    private final class Opener implements MemberSupervisor.MemberOpener {
        @Override
        public VersionMember open() throws IOException {
            if (!failures.isEmpty()) {
                throw failures.poll();
            }
            StoppableLog log = new StoppableLog();
            logs.add(log);
            return new VersionMember(
                    ring,
                    time,
                    new VersionState(new IgnoringObserver()),
                    log,
                    new SuspensionDetector(),
                    Duration.ofSeconds(1),
                    status -> {});
        }

        @Override
        public void deleteRecords() {
            drops++;
        }
    }

    /** A log with nothing but a running state. */
    private static final class StoppableLog implements ReplicatedLog {
        private boolean running = true;
        private boolean closed;

        @Override
        public boolean leads() {
            return false;
        }

        @Override
        public long term() {
            return 1;
        }

        @Override
        public Optional<String> leaderAddress() {
            return Optional.empty();
        }

        @Override
        public boolean isRunning() {
            return running;
        }

        @Override
        public void propose(byte[] command, Consumer<ProposalResult> callback) {
            callback.accept(new ProposalResult.NotTaken(""));
        }

        @Override
        public void close() {
            closed = true;
        }
    }
}
