package org.copperspindle.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import org.copperspindle.config.AccountSettings;
import org.copperspindle.config.Deployment;
import org.copperspindle.config.PipelineSettings;
import org.copperspindle.config.PoolKind;
import org.copperspindle.config.Priority;
import org.copperspindle.replay.Trace;

/**
 * One run of the demonstration: starts the deployment, replays the trace, injects faults halfway through and prints a
 * report.
 */
public final class DemoRun {

    private static final String ADDED_ACCOUNT = "newcomer";
    private static final long READY_TIMEOUT_MILLIS = 15_000;
    private static final long POLL_INTERVAL_MILLIS = 20;
    private static final long PROGRESS_INTERVAL_MILLIS = 2000;
    private static final long ANSWER_TIMEOUT_MILLIS = 20_000;
    private static final double MILLIS_PER_SECOND = 1000;

    private final Deployment deployment;
    private final String text;
    private final Trace trace;
    private final List<TraceCall> calls;
    private final long seed;
    private final PrintStream out;
    private final DemoCaller caller;
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
    private final Queue<DemoAnswer> answers = new ConcurrentLinkedQueue<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final SplittableRandom random;
    private DemoDeployment components;
    private ConfigClient operator;
    private long startedAt;
    private String configProblem = "";
    private int configChecks;

    /**
     * Prepares a run.
     *
     * @param deployment deployment to start
     * @param text       INI text of the deployment
     * @param trace      calls to replay
     * @param seed       seed for the choice of entries, repeated calls and upstreams to stop
     * @param out        destination of progress lines and tables
     */
    public DemoRun(Deployment deployment, String text, Trace trace, long seed, PrintStream out) {
        this.deployment = deployment;
        this.caller = new DemoCaller(deployment);
        this.text = text;
        this.trace = trace;
        this.calls = new DemoTrace(deployment, seed).calls(trace);
        this.seed = seed;
        this.out = out;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Runs the demonstration.
     *
     * @param data folder for the state of the control members
     * @return false if any promise was broken
     * @throws Exception if the deployment can't be started or stopped
     */
    public boolean run(Path data) throws Exception {
        out.println("Deployment " + deployment.name() + ", scaled down: " + describePools());
        components = new DemoDeployment(deployment, data);
        out.println("Started in this process on loopback: " + components.summary());
        operator = new ConfigClient(components.operatorAddresses());
        long version = operator.apply(text, 0, "demo-1");
        await(components::ready, READY_TIMEOUT_MILLIS);
        warmUp();
        out.println("Configuration version " + version + " is in force; replaying " + calls.size() + " calls of trace "
                + trace.name() + ", seed " + seed);
        replay(version);
        out.println("Stopping gracefully ...");
        components.stop();
        scheduler.shutdownNow();
        return report();
    }

    private String describePools() {
        return String.join(
                ", ",
                deployment.pools().values().stream()
                        .sorted((a, b) -> a.kind().compareTo(b.kind()))
                        .map(p -> p.name() + " " + DemoDeployment.scaledSize(p) + " of " + p.size())
                        .toList());
    }

    /** Sends one call of each pipeline through each entry, so that the measured calls include no class loading. */
    private void warmUp() {
        List<CompletableFuture<?>> pending = new ArrayList<>();
        for (PipelineSettings pipeline : deployment.pipelines().values()) {
            for (InetSocketAddress entry : components.entryAddresses()) {
                Optional<AccountSettings> account = deployment.accounts().values().stream()
                        .filter(a -> a.pipelines().contains(pipeline.name()))
                        .findFirst();
                if (account.isPresent()) {
                    TraceCall call = new TraceCall(0, account.get().name(), pipeline.name(), 4, false, 0);
                    pending.add(caller.send(call(call, "warm-" + pending.size()), entry));
                }
            }
        }
        pending.forEach(CompletableFuture::join);
    }

    private void replay(long version) throws InterruptedException {
        startedAt = System.nanoTime();
        int index = 0;
        for (TraceCall traced : calls) {
            DemoCall call = call(traced, seed + "-" + index++);
            int entry = random.nextInt(components.entryAddresses().size());
            schedule(traced.atMillis(), () -> send(call, entry));
            if (traced.resendMillis() > 0) {
                schedule(traced.atMillis() + traced.resendMillis(), () -> send(call.retransmission(), entry + 1));
            }
        }
        schedule(lengthMillis() / 2, () -> injectFaults(version));
        for (long at = PROGRESS_INTERVAL_MILLIS; at < lengthMillis(); at += PROGRESS_INTERVAL_MILLIS) {
            schedule(at, () -> printProgress(""));
        }
        int all = calls.size()
                + (int) calls.stream().filter(c -> c.resendMillis() > 0).count();
        await(() -> sent.get() == all && answered.get() == all, lengthMillis() + ANSWER_TIMEOUT_MILLIS);
        printProgress("all answered");
    }

    private long lengthMillis() {
        return calls.isEmpty() ? 0 : calls.get(calls.size() - 1).atMillis();
    }

    private DemoCall call(TraceCall traced, String token) {
        PipelineSettings pipeline = deployment.pipeline(traced.call()).orElseThrow();
        Priority highest = deployment.accounts().containsKey(traced.account())
                ? deployment.accounts().get(traced.account()).highestPriority()
                : Priority.INTERACTIVE;
        Priority priority = pipeline.priority().compareTo(highest) < 0 ? highest : pipeline.priority();
        String bearer = "demo-" + deployment.name() + "-" + traced.account();
        return new DemoCall(traced, pipeline, priority, token, "key-" + token, bearer, false);
    }

    private CompletableFuture<DemoAnswer> send(DemoCall call, int entry) {
        sent.incrementAndGet();
        List<InetSocketAddress> addresses = components.entryAddresses();
        return caller.send(call, addresses.get(entry % addresses.size())).whenComplete((answer, failure) -> {
            answers.add(answer);
            answered.incrementAndGet();
        });
    }

    /** Applies a new configuration, drains one upstream and kills another, all under load. */
    private void injectFaults(long version) {
        List<DemoUpstream> services = removableUpstreams(PoolKind.SERVICE);
        List<DemoUpstream> engines = removableUpstreams(PoolKind.ENGINE);
        DemoUpstream drained = services.get(random.nextInt(services.size()));
        DemoUpstream killed = engines.get(random.nextInt(engines.size()));
        CompletableFuture.runAsync(() -> addAccount(version));
        CompletableFuture.runAsync(() -> drain(drained));
        components.kill(killed);
        printProgress("killed " + killed.id() + " (agent and upstream) in the middle of its work");
    }

    /** Returns the upstreams of this kind that may be stopped: their pool is used by the trace and has another one. */
    private List<DemoUpstream> removableUpstreams(PoolKind kind) {
        return components.upstreams().stream()
                .filter(u -> u.pool().kind() == kind && DemoDeployment.scaledSize(u.pool()) > 1)
                .toList();
    }

    private void drain(DemoUpstream upstream) {
        long start = System.nanoTime();
        try {
            components.drain(upstream);
            printProgress("drained " + upstream.id() + ": its work ended after "
                    + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start) + " ms");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Adds a client account, then uses it at once through every entry: once applied, no entry may reject its key. */
    private void addAccount(long version) {
        PipelineSettings open = deployment.pipelines().values().stream()
                .filter(p -> p.service() && p.repeatable())
                .findFirst()
                .orElseThrow();
        String account = "\n[account " + ADDED_ACCOUNT + "]\nkey-sha256 = "
                + sha256("demo-" + deployment.name() + "-" + ADDED_ACCOUNT) + "\nrate-per-second = 10\npipelines = "
                + open.name() + "\n";
        try {
            long start = System.nanoTime();
            long next = operator.apply(text + account, version, "demo-2");
            printProgress("configuration version " + next + " in force everywhere after "
                    + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start) + " ms");
            TraceCall call = new TraceCall(0, ADDED_ACCOUNT, open.name(), 0, false, 0);
            for (InetSocketAddress entry : components.entryAddresses()) {
                DemoAnswer answer = caller.send(call(call, "late-" + entry.getPort()), entry)
                        .join();
                configChecks++;
                if (answer.reason().equals("unknown-key")) {
                    configProblem = "entry " + entry + " still serves an older version";
                }
            }
        } catch (IOException e) {
            configChecks++;
            configProblem = e.getMessage();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean report() {
        List<DemoAnswer> all = List.copyOf(answers);
        List<PromiseCheck.Result> results =
                new ArrayList<>(new PromiseCheck(deployment, all, components.ledger()).check());
        results.add(
                PromiseCheck.checkReceived(caller.sent(), components.ledger().receivedCalls()));
        results.add(new PromiseCheck.Result(
                "accepted configuration not in force", configChecks, configProblem.isEmpty() ? 0 : 1, configProblem));
        DemoReport report = new DemoReport(out);
        report.printAttainment(all.stream().filter(a -> !a.call().resent()).toList());
        report.printCost(components.upstreams());
        report.printVerdicts(all);
        boolean kept = report.printPromises(results);
        out.println();
        out.println(kept ? "Every promise was kept." : "A PROMISE WAS BROKEN.");
        return kept;
    }

    private void schedule(long millis, Runnable action) {
        long passed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
        scheduler.schedule(action, Math.max(0, millis - passed), TimeUnit.MILLISECONDS);
    }

    private void printProgress(String event) {
        int done = answered.get();
        String line = String.format(
                Locale.ROOT,
                "  %5.1f s  %4d sent  %4d answered  %3d in progress%s",
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt) / MILLIS_PER_SECOND,
                sent.get(),
                done,
                Math.max(0, sent.get() - done),
                event.isEmpty() ? "" : "  " + event);
        out.println(line);
    }

    private void await(BooleanSupplier condition, long millis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        CountDownLatch met = new CountDownLatch(1);
        Runnable check = () -> {
            if (condition.getAsBoolean() || System.nanoTime() > end) {
                met.countDown();
            }
        };
        ScheduledFuture<?> polling =
                scheduler.scheduleWithFixedDelay(check, 0, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        met.await();
        polling.cancel(false);
    }

    private static String sha256(String key) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }
}
