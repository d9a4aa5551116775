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

    private static final String UNREADABLE = "bad";

    private final DecisionRing ring = new DecisionRing("reader-test", 256);
    private final BlockingQueue<String> started = new LinkedBlockingQueue<>();
    private final Semaphore parsePermits = new Semaphore(0);
    private final List<String> reported = new CopyOnWriteArrayList<>();
    private final DeploymentReader reader = new BackgroundDeploymentReader(ring, this::parse);

    @AfterEach
    void close() {
        ring.close();
    }

    /**
     * A request arrives while a large text is being parsed. If the ring waited for the parser, the caller would see a
     * gap between tokens or miss its deadline. The parser blocks here for as long as the ring works.
     */
    @Test
    void ringIsNotBlockedByParsing() throws InterruptedException {
        ring.execute(() -> read(1, "one"));
        assertThat(started.take()).isEqualTo("version 1");

        CountDownLatch served = new CountDownLatch(100);
        for (int i = 0; i < 100; i++) {
            ring.execute(served::countDown);
        }
        served.await();

        assertThat(reported).isEmpty();
        parsePermits.release();
        awaitReports(1);
        assertThat(reported).containsExactly("1 one reader-test");
    }

    /**
     * Versions 2 to 4 arrive while version 1 is parsed. Only the newest of them may cost a second parse, or a burst of
     * changes would keep a member behind for minutes. Version 1 is still reported, or a steady stream of changes would
     * leave no version in force.
     */
    @Test
    void onlyLatestQueuedTextIsParsed() throws InterruptedException {
        ring.execute(() -> read(1, "one"));
        started.take();
        CountDownLatch submitted = new CountDownLatch(1);
        ring.execute(() -> {
            read(2, "two");
            read(3, "three");
            read(4, "four");
            submitted.countDown();
        });
        submitted.await();

        parsePermits.release(4);
        awaitReports(2);

        assertThat(reported).containsExactly("1 one reader-test", "4 four reader-test");
        assertThat(started).containsExactly("version 4");
    }

    /** A text that an older build can't parse is reported as unreadable, and the next text is parsed as usual. */
    @Test
    void unreadableTextDoesNotStopTheReader() throws InterruptedException {
        parsePermits.release(2);
        ring.execute(() -> read(1, UNREADABLE));
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
        started.add(name);
        parsePermits.acquireUninterruptibly();
        if (text.equals(UNREADABLE)) {
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
