package org.copperspindle.demo;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.copperspindle.config.Deployment;
import org.copperspindle.config.DeploymentLoader;
import org.copperspindle.emulator.ExecutionLedger;
import org.copperspindle.emulator.FakeKind;
import org.copperspindle.emulator.FakeSettings;
import org.copperspindle.emulator.FakeUpstream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Planned stops and deaths of real processes under a steady load over HTTP. Fakes run in this JVM, so that their ledger
 * outlives every daemon.
 */
class RollingRestartTest {

    private static final long BOUND_SECONDS = 30;
    private static final Map<String, FakeKind> POOLS =
            Map.of("encoders", FakeKind.ENCODER, "engines", FakeKind.ENGINE, "gallery", FakeKind.SERVICE);

    @TempDir
    private Path folder;

    private final ExecutionLedger ledger = new ExecutionLedger();
    private final List<DaemonProcess> controls = new ArrayList<>();
    private final List<DaemonProcess> entries = new ArrayList<>();
    private final Map<DaemonProcess, FakeUpstream> agents = new LinkedHashMap<>();
    private final List<InetSocketAddress> entryAddresses = new ArrayList<>();
    private Deployment deployment;
    private SteadyLoad load;

    @BeforeEach
    void startDeployment() throws Exception {
        Path file = Path.of(
                RollingRestartTest.class.getResource("/rolling-restart.ini").toURI());
        deployment = DeploymentLoader.load(file);
        int control = freePort();
        int operators = freePort();
        String members = "127.0.0.1:" + control;
        controls.add(daemon(
                "control-1",
                control,
                members,
                "[control]\nlisten = 127.0.0.1:" + operators + "\nlease = 3s\ndata-folder = "
                        + folder.resolve("control-1")));
        for (int i = 1; i <= 2; i++) {
            for (Map.Entry<String, FakeKind> pool : POOLS.entrySet()) {
                startAgent(pool.getKey(), pool.getValue(), i, members);
            }
        }
        for (int i = 1; i <= 2; i++) {
            int port = freePort();
            entryAddresses.add(new InetSocketAddress("127.0.0.1", port));
            entries.add(daemon(
                    "entry-" + i, freePort(), members, "[entry]\nlisten = 127.0.0.1:" + port + "\nstop-delay = 500ms"));
        }
        for (DaemonProcess daemon : all()) {
            daemon.start();
        }
        ConfigClient operator = new ConfigClient(List.of(new InetSocketAddress("127.0.0.1", operators)));
        operator.apply(Files.readString(file, StandardCharsets.UTF_8), 0, "c1");
    }

    @AfterEach
    void stopDeployment() throws Exception {
        if (load != null) {
            load.close();
        }
        for (DaemonProcess daemon : all()) {
            if (daemon.alive()) {
                daemon.kill();
            }
        }
        agents.values().forEach(FakeUpstream::close);
    }

    /**
     * Every entry and agent is stopped by SIGTERM and started again, one after the other, while callers go on. A caller
     * sees nothing but whole answers: a stopping entry leaves the balancer first and finishes what it has, a stopping
     * agent refuses new work as not run, so that the entry tries the next one, and finishes what it has.
     */
    @Test
    void restartOfEveryProcessCutsNoRequestOff() throws Exception {
        startLoad(false);
        for (DaemonProcess entry : entries) {
            entry.terminate();
            await(() -> load.ready() == 1, "the balancer leaves out " + entry.id());
            entry.start();
            await(() -> load.ready() == 2, entry + " is ready again");
        }
        for (DaemonProcess agent : agents.keySet()) {
            agent.terminate();
            agent.start();
            awaitWork(agent);
        }
        finishLoad();

        assertThat(load.answers())
                .allSatisfy(a ->
                        assertThat(a.outcome()).as(a.reason() + " " + a.call()).isEqualTo(DemoAnswer.Outcome.WHOLE));
        assertPromisesKept();
    }

    /**
     * An agent dies by SIGKILL with installs and descriptions running on its upstream, which goes on with them. Repeatable
     * calls are answered whole through another upstream; installs that had reached it are told {@code MAY_HAVE_RUN} and
     * are not run again, since nobody can know how they ended.
     */
    @Test
    void deathOfAgentsRunsNothingTwice() throws Exception {
        startLoad(false);
        for (DaemonProcess agent : agents.keySet()) {
            agent.kill();
            agent.start();
            awaitWork(agent);
        }
        finishLoad();

        assertThat(load.answers()).noneMatch(a -> a.outcome() == DemoAnswer.Outcome.NONE);
        assertThat(load.answers())
                .filteredOn(a -> a.outcome() == DemoAnswer.Outcome.FAILED)
                .allSatisfy(a -> assertThat(a.call().pipeline().repeatable() && !a.call().trace().stream())
                        .as(a.toString())
                        .isFalse());
        assertPromisesKept();
    }

    /**
     * An entry dies by SIGKILL in the middle of requests. Their callers see the connection break and send the same key
     * again through the other entry, which finds the claim of the first and asks the agent for the kept outcome: each
     * install runs once.
     */
    @Test
    void deathOfAnEntryRunsNothingTwice() throws Exception {
        startLoad(true);
        for (DaemonProcess entry : entries) {
            entry.kill();
            await(() -> load.ready() == 1, "the balancer leaves out " + entry.id());
            entry.start();
            await(() -> load.ready() == 2, entry + " is ready again");
        }
        finishLoad();

        assertThat(load.sentAgain()).isPositive();
        assertPromisesKept();
    }

    private void startLoad(boolean resendAfterCut) throws InterruptedException {
        load = new SteadyLoad(deployment, entryAddresses, resendAfterCut);
        await(() -> load.ready() == 2, "entries are ready");
        load.start();
        for (DaemonProcess agent : agents.keySet()) {
            awaitWork(agent);
        }
    }

    private void finishLoad() throws InterruptedException {
        load.stop();
        await(load::idle, "every call is answered");
    }

    private void assertPromisesKept() {
        List<DemoAnswer> answers = load.answers();
        assertThat(answers).isNotEmpty();
        assertThat(new PromiseCheck(deployment, answers, ledger).check())
                .allSatisfy(r -> assertThat(r.broken()).as(r.toString()).isZero());
    }

    /** Waits until the upstream beside an agent is given work again, so that the next stop doesn't empty a pool. */
    private void awaitWork(DaemonProcess agent) throws InterruptedException {
        FakeUpstream fake = agents.get(agent);
        long before = fake.usage().calls();
        await(() -> fake.usage().calls() > before, agent + " gets work");
    }

    private void await(BooleanSupplier condition, String what) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(BOUND_SECONDS);
        CountDownLatch pause = new CountDownLatch(1);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as(what).isLessThan(end);
            pause.await(10, TimeUnit.MILLISECONDS);
        }
    }

    private void startAgent(String pool, FakeKind kind, int number, String members) throws Exception {
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        FakeUpstream fake = new FakeUpstream(
                new FakeSettings(kind, any, 64, Duration.ofMillis(30), Duration.ofMillis(5), 64, false), ledger);
        String id = pool + "-" + number;
        DaemonProcess agent = daemon(
                "agent-" + id,
                freePort(),
                members,
                "[agent]\nupstream-id = " + id + "\npool = " + pool + "\nupstream = 127.0.0.1:"
                        + fake.address().getPort()
                        + (deployment.pools().get(pool).models().isEmpty()
                                ? ""
                                : "\nmodels = "
                                        + String.join(
                                                ", ",
                                                deployment.pools().get(pool).models())));
        agents.put(agent, fake);
    }

    private DaemonProcess daemon(String id, int port, String members, String role) throws Exception {
        return new DaemonProcess(
                folder,
                id,
                "[process]\nid = " + id + "\nfailure-domain = north\nlisten = 127.0.0.1:" + port + "\ncontrols = "
                        + members + "\nrenew = 200ms\n" + role + "\n");
    }

    private List<DaemonProcess> all() {
        List<DaemonProcess> all = new ArrayList<>(controls);
        all.addAll(agents.keySet());
        all.addAll(entries);
        return all;
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }
}
