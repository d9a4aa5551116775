package org.copperspindle.config;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import org.copperspindle.core.DecisionRing;
import org.copperspindle.settings.SettingsException;
import org.copperspindle.settings.SettingsProblem;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(20)
class BackgroundDeploymentReaderTest {

    private static final String BAD = "bad";

    private final DecisionRing ring = new DecisionRing("reader-test", 256);
    private final BlockingQueue<String> begun = new LinkedBlockingQueue<>();
    private final Semaphore held = new Semaphore(0);
    private final List<String> reported = new CopyOnWriteArrayList<>();
    private final DeploymentReader reader = new BackgroundDeploymentReader(ring, this::parse);

    @AfterEach
    void close() {
        ring.close();
    }

    /**
     * A large text is being read when a request arrives. The caller would see a gap between tokens, or a missed
     * deadline, if the ring waited for the reader. The reader is held here for as long as the ring works.
     */
    @Test
    void ringGoesOnWhileTextIsRead() throws InterruptedException {
        ring.execute(() -> read(1, "one"));
        assertThat(begun.take()).isEqualTo("version 1");

        CountDownLatch served = new CountDownLatch(100);
        for (int i = 0; i < 100; i++) {
            ring.execute(served::countDown);
        }
        served.await();

        assertThat(reported).isEmpty();
        held.release();
        awaitReports(1);
        assertThat(reported).containsExactly("1 one reader-test");
    }

    /**
     * Versions 2 to 4 arrive while 1 is read. Only the newest of them may cost a second reading, or a burst of changes
     * would keep a member behind for minutes; and 1 is reported, or a steady stream of changes would leave none in force.
     */
    @Test
    void newestOfThoseThatWaitIsReadNext() throws InterruptedException {
        ring.execute(() -> read(1, "one"));
        begun.take();
        CountDownLatch handedOver = new CountDownLatch(1);
        ring.execute(() -> {
            read(2, "two");
            read(3, "three");
            read(4, "four");
            handedOver.countDown();
        });
        handedOver.await();

        held.release(4);
        awaitReports(2);

        assertThat(reported).containsExactly("1 one reader-test", "4 four reader-test");
        assertThat(begun).containsExactly("version 4");
    }

    /** A text that an older build can't read is reported as such, and the thread goes on to the next one. */
    @Test
    void unreadableTextEndsNothing() throws InterruptedException {
        held.release(2);
        ring.execute(() -> read(1, BAD));
        awaitReports(1);
        ring.execute(() -> read(2, "two"));
        awaitReports(2);

        assertThat(reported).containsExactly("1 unreadable reader-test", "2 two reader-test");
    }

    private void read(long version, String text) {
        reader.read(version, text, deployment -> report(version, deployment));
    }

    private void report(long version, Optional<Deployment> deployment) {
        String name = deployment.map(Deployment::name).orElse("unreadable");
        reported.add(version + " " + name + " " + Thread.currentThread().getName());
    }

    private Deployment parse(String name, String text) throws SettingsException {
        begun.add(name);
        held.acquireUninterruptibly();
        if (text.equals(BAD)) {
            throw new SettingsException(List.of(new SettingsProblem(name, "", "", "unknown section", "")));
        }
        return new Deployment(
                text,
                Deployment.EMPTY.failureDomains(),
                0.5,
                Deployment.EMPTY.accounts(),
                Deployment.EMPTY.pools(),
                Deployment.EMPTY.pipelines());
    }

    private void awaitReports(int count) throws InterruptedException {
        CountDownLatch never = new CountDownLatch(1);
        while (reported.size() < count) {
            never.await(1, TimeUnit.MILLISECONDS);
        }
    }
}
