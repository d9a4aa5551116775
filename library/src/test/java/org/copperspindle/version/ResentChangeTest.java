package org.copperspindle.version;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;

import org.copperspindle.control.ControlResult;
import org.copperspindle.control.ProposalResult;
import org.copperspindle.control.ReplicatedLog;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.time.SuspensionDetector;
import org.copperspindle.time.VirtualTimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A leader whose disk takes longer for a save than operators wait for a response. They send the same change again.
 */
class ResentChangeTest {

    private final DecisionRing ring = new DecisionRing("test", 64);
    private final VirtualTimerService time = new VirtualTimerService();
    private final VersionState state = new VersionState(new IgnoringObserver());
    private final SlowLog log = new SlowLog(state);
    private final VersionMember member = new VersionMember(
            ring,
            time,
            state,
            log,
            new SuspensionDetector(
                    time::nanoTime, () -> time.nanoTime() / Duration.ofMillis(1).toNanos()),
            Duration.ofSeconds(1),
            status -> {});

    @AfterEach
    void close() {
        ring.close();
    }

    /** Guards against a change that is never answered although it was recorded long ago. */
    @Test
    void recordedChangeIsAnsweredWithoutAnotherSave() throws InterruptedException {
        put(7);
        save();
        assertThat(put(7)).containsExactly(7L);
        assertThat(put(6)).containsExactly(7L);
    }

    /** Guards against tries that queue behind each other, each with a save of its own. */
    @Test
    void triesOfOneChangeShareASave() throws InterruptedException {
        List<Long> first = put(7);
        onRing(log::beginSave);
        List<Long> second = put(7);
        onRing(log::endSave);
        assertThat(first).containsExactly(7L);
        assertThat(second).containsExactly(7L);
    }

    /** Guards against an older change that is answered before the newer one which overtakes it is recorded. */
    @Test
    void olderChangeWaitsForTheNewerOne() throws InterruptedException {
        put(8);
        onRing(log::beginSave);
        List<Long> older = put(7);
        assertThat(older).isEmpty();
        onRing(log::endSave);
        assertThat(older).containsExactly(8L);
    }

    /** Guards against a newer change that is answered by the save of an older one. */
    @Test
    void newerChangeHasASaveOfItsOwn() throws InterruptedException {
        put(7);
        onRing(log::beginSave);
        List<Long> newer = put(8);
        onRing(log::endSave);
        assertThat(newer).isEmpty();
        save();
        assertThat(newer).containsExactly(8L);
    }

    /** Guards against a configuration that can't be read while saves take long. */
    @Test
    void configurationIsReadWithoutASave() throws InterruptedException {
        put(7);
        save();
        List<Long> read = new ArrayList<>();
        member.read(result -> read.add(versionOf(result)));
        onRing(() -> {});
        assertThat(read).containsExactly(7L);
    }

    private List<Long> put(long version) throws InterruptedException {
        List<Long> answered = new ArrayList<>();
        byte[] text = ("text " + version).getBytes(StandardCharsets.UTF_8);
        member.put(new VersionMessage(version, text), result -> answered.add(versionOf(result)));
        onRing(() -> {});
        return answered;
    }

    private void save() throws InterruptedException {
        onRing(log::beginSave);
        onRing(log::endSave);
    }

    private void onRing(Runnable task) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        ring.execute(() -> {
            task.run();
            done.countDown();
        });
        done.await();
    }

    private static long versionOf(VersionResult result) {
        return result instanceof VersionResult.Recorded recorded
                ? recorded.held().version()
                : 0;
    }

    /** The log of a leader whose saves begin and end when the test says so. */
    private static final class SlowLog implements ReplicatedLog {
        private final VersionState state;
        private final Deque<Proposal> proposed = new ArrayDeque<>();
        private int inSave;
        private long index = 1;

        private SlowLog(VersionState state) {
            this.state = state;
        }

        private void beginSave() {
            inSave = proposed.size();
        }

        private void endSave() {
            for (; inSave > 0; inSave--) {
                Proposal saved = proposed.pollFirst();
                index++;
                ControlResult result = state.apply(index, 1, saved.command());
                saved.callback().accept(new ProposalResult.Committed(index, result));
            }
        }

        @Override
        public boolean leads() {
            return true;
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
        public void propose(byte[] command, Consumer<ProposalResult> callback) {
            proposed.addLast(new Proposal(command, callback));
        }

        @Override
        public void close() {
            // Nothing is open.
        }

        private record Proposal(byte[] command, Consumer<ProposalResult> callback) {}
    }
}
