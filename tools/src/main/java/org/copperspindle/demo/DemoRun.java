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
 * One run of the demonstration: starts the deployment, replays the trace, disturbs it half way, and reports.
 */
public final class DemoRun {

    private static final String LATE_ACCOUNT = "newcomer";
    private static final long READY_MILLIS = 15_000;
    private static final long POLL_MILLIS = 20;
    private static final long PROGRESS_MILLIS = 2000;
    private static final long ANSWER_MILLIS = 20_000;
    private static final double MILLIS_PER_SECOND = 1000;

    private final Deployment deployment;
    private final String text;
    private final Trace trace;
    private final List<TraceCall> calls;
    private final long seed;
    private final PrintStream out;
    private final DemoCaller caller = new DemoCaller();
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
    private final Queue<DemoAnswer> answers = new ConcurrentLinkedQueue<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final SplittableRandom random;
    private DemoDeployment parts;
    private ConfigClient operator;
    private long startedAt;
    private String configProblem = "";
    private int configChecks;

    /**
     * Prepares a run.
     *
     * @param deployment the sample deployment
     * @param text       its INI text
     * @param trace      what callers do
     * @param seed       seed of entries, resent calls and victims
     * @param out        where progress and tables go
     */
    public DemoRun(Deployment deployment, String text, Trace trace, long seed, PrintStream out) {
        this.deployment = deployment;
        this.text = text;
        this.trace = trace;
        this.calls = new DemoTrace(deployment, seed).calls(trace);
        this.seed = seed;
        this.out = out;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Runs it.
     *
     * @param data folder for the state of the control members
     * @return false if any promise was broken
     * @throws Exception if the deployment can't be started or stopped
     */
    public boolean run(Path data) throws Exception {
        out.println("Deployment " + deployment.name() + ", scaled down: " + pools());
        parts = new DemoDeployment(deployment, data);
        out.println("Started in this process on loopback: " + parts.summary());
        operator = new ConfigClient(parts.operatorAddresses());
        long version = operator.apply(text, 0, "demo-1");
        await(parts::ready, READY_MILLIS);
        warmUp();
        out.println("Configuration version " + version + " is in force; replaying " + calls.size() + " calls of trace "
                + trace.name() + ", seed " + seed);
        replay(version);
        out.println("Stopping gracefully ...");
        parts.stop();
        scheduler.shutdownNow();
        return report();
    }

    private String pools() {
        return String.join(
                ", ",
                deployment.pools().values().stream()
                        .sorted((a, b) -> a.kind().compareTo(b.kind()))
                        .map(p -> p.name() + " " + DemoDeployment.scaled(p) + " of " + p.size())
                        .toList());
    }

    /** One call of each pipeline through each entry, so that the first measured call doesn't pay for class loading. */
    private void warmUp() {
        List<CompletableFuture<?>> pending = new ArrayList<>();
        for (PipelineSettings pipeline : deployment.pipelines().values()) {
            for (InetSocketAddress entry : parts.entryAddresses()) {
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
            int entry = random.nextInt(parts.entryAddresses().size());
            after(traced.atMillis(), () -> send(call, entry));
            if (traced.resendMillis() > 0) {
                after(traced.atMillis() + traced.resendMillis(), () -> send(call.again(), entry + 1));
            }
        }
        after(lengthMillis() / 2, () -> disturb(version));
        for (long at = PROGRESS_MILLIS; at < lengthMillis(); at += PROGRESS_MILLIS) {
            after(at, () -> progress(""));
        }
        int all = calls.size()
                + (int) calls.stream().filter(c -> c.resendMillis() > 0).count();
        await(() -> sent.get() == all && answered.get() == all, lengthMillis() + ANSWER_MILLIS);
        progress("all answered");
    }

    private long lengthMillis() {
        return calls.isEmpty() ? 0 : calls.get(calls.size() - 1).atMillis();
    }

    private DemoCall call(TraceCall traced, String token) {
        PipelineSettings pipeline = deployment.pipeline(traced.call()).orElseThrow();
        Priority highest = deployment.accounts().containsKey(traced.account())
                ? deployment.accounts().get(traced.account()).highest()
                : Priority.INTERACTIVE;
        Priority priority = pipeline.priority().compareTo(highest) < 0 ? highest : pipeline.priority();
        String bearer = "demo-" + deployment.name() + "-" + traced.account();
        return new DemoCall(traced, pipeline, priority, token, "key-" + token, bearer, false);
    }

    private CompletableFuture<DemoAnswer> send(DemoCall call, int entry) {
        sent.incrementAndGet();
        List<InetSocketAddress> addresses = parts.entryAddresses();
        return caller.send(call, addresses.get(entry % addresses.size())).whenComplete((answer, failure) -> {
            answers.add(answer);
            answered.incrementAndGet();
        });
    }

    /** Half way: a new configuration, a planned leave and a sudden death, all under load. */
    private void disturb(long version) {
        List<DemoUpstream> services = victims(PoolKind.SERVICE);
        List<DemoUpstream> engines = victims(PoolKind.ENGINE);
        DemoUpstream leaving = services.get(random.nextInt(services.size()));
        DemoUpstream dying = engines.get(random.nextInt(engines.size()));
        CompletableFuture.runAsync(() -> change(version));
        CompletableFuture.runAsync(() -> drain(leaving));
        parts.kill(dying);
        progress("killed " + dying.id() + " (agent and upstream) in the middle of its work");
    }

    /** Chosen among pools that callers of the trace use and that have an upstream to spare. */
    private List<DemoUpstream> victims(PoolKind kind) {
        return parts.upstreams().stream()
                .filter(u -> u.pool().kind() == kind && DemoDeployment.scaled(u.pool()) > 1)
                .toList();
    }

    private void drain(DemoUpstream upstream) {
        long start = System.nanoTime();
        try {
            parts.drain(upstream);
            progress("drained " + upstream.id() + ": its work ended after "
                    + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start) + " ms");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Adds a client account, then calls with it through every entry at once: none may still refuse its key. */
    private void change(long version) {
        PipelineSettings open = deployment.pipelines().values().stream()
                .filter(p -> p.service() && p.repeatable())
                .findFirst()
                .orElseThrow();
        String account = "\n[account " + LATE_ACCOUNT + "]\nkey-sha256 = "
                + sha256("demo-" + deployment.name() + "-" + LATE_ACCOUNT) + "\nrate-per-second = 10\npipelines = "
                + open.name() + "\n";
        try {
            long start = System.nanoTime();
            long next = operator.apply(text + account, version, "demo-2");
            progress("configuration version " + next + " in force everywhere after "
                    + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start) + " ms");
            TraceCall call = new TraceCall(0, LATE_ACCOUNT, open.name(), 0, false, 0);
            for (InetSocketAddress entry : parts.entryAddresses()) {
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
        List<PromiseCheck.Result> results = new ArrayList<>(new PromiseCheck(deployment, all, parts.ledger()).check());
        results.add(new PromiseCheck.Result(
                "accepted configuration not in force", configChecks, configProblem.isEmpty() ? 0 : 1, configProblem));
        DemoReport report = new DemoReport(out);
        report.attainment(all.stream().filter(a -> !a.call().resent()).toList());
        report.cost(parts.upstreams());
        report.verdicts(all);
        boolean kept = report.promises(results);
        out.println();
        out.println(kept ? "Every promise was kept." : "A PROMISE WAS BROKEN.");
        return kept;
    }

    private void after(long millis, Runnable action) {
        long passed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
        scheduler.schedule(action, Math.max(0, millis - passed), TimeUnit.MILLISECONDS);
    }

    private void progress(String event) {
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
        ScheduledFuture<?> polling = scheduler.scheduleWithFixedDelay(check, 0, POLL_MILLIS, TimeUnit.MILLISECONDS);
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
