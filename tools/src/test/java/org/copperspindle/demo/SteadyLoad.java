package org.copperspindle.demo;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

import org.copperspindle.config.Deployment;
import org.copperspindle.config.PipelineSettings;

/**
 * Callers behind a balancer: a steady load over the entries that are ready by {@code /readyz}. A call is sent again, with
 * the same key, only if its connection was refused or if it was refused as not run for one of two passing reasons.
 */
final class SteadyLoad implements AutoCloseable {

    /** Between a token's number and that of the entry that the call was first sent to. */
    static final String TOKEN_OF_ENTRY = "-e";

    private static final long PERIOD_MILLIS = 25;
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(2);
    private static final List<String> CALLS = List.of("describe", "install", "browse");
    private static final int TOKENS = 12;

    /** Refused by an entry that stops, or because control was changing its leader; not run, so sending again is safe. */
    private static final Set<String> SENT_AGAIN = Set.of("not-serving", "claim-unavailable");

    private final Deployment deployment;
    private final List<InetSocketAddress> entries;
    private final boolean resendAfterCut;
    private final DemoCaller caller = new DemoCaller();
    private final HttpClient probes = HttpClient.newHttpClient();
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
    private final Queue<DemoAnswer> answers = new ConcurrentLinkedQueue<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger ended = new AtomicInteger();
    private final AtomicInteger sentAgain = new AtomicInteger();
    private volatile List<InetSocketAddress> ready = List.of();
    private volatile boolean stopping;

    SteadyLoad(Deployment deployment, List<InetSocketAddress> entries, boolean resendAfterCut) {
        this.deployment = deployment;
        this.entries = entries;
        this.resendAfterCut = resendAfterCut;
        scheduler.scheduleWithFixedDelay(this::probe, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    void start() {
        scheduler.scheduleAtFixedRate(this::sendNext, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    int ready() {
        return ready.size();
    }

    int answered() {
        return answers.size();
    }

    int sentAgain() {
        return sentAgain.get();
    }

    void stop() {
        stopping = true;
    }

    boolean idle() {
        return stopping && sent.get() == ended.get();
    }

    List<DemoAnswer> answers() {
        return List.copyOf(answers);
    }

    /** Counts the answers by outcome, verdict and reason. */
    Map<String, Long> ends() {
        return answers.stream()
                .collect(Collectors.groupingBy(
                        a -> a.outcome() + " " + a.verdict() + " " + a.reason(), TreeMap::new, Collectors.counting()));
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }

    private void probe() {
        ready = entries.stream().filter(this::isReady).toList();
    }

    private boolean isReady(InetSocketAddress entry) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.getPort() + "/readyz"))
                .version(HttpClient.Version.HTTP_1_1)
                .timeout(PROBE_TIMEOUT)
                .build();
        try {
            return probes.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void sendNext() {
        if (stopping) {
            return;
        }
        int number = sent.getAndIncrement();
        PipelineSettings pipeline =
                deployment.pipeline(CALLS.get(number % CALLS.size())).orElseThrow();
        boolean stream = !pipeline.service() && number % 2 == 0;
        TraceCall traced = new TraceCall(0, "caller", pipeline.name(), pipeline.service() ? 0 : TOKENS, stream, 0);
        List<InetSocketAddress> choices = ready.isEmpty() ? entries : ready;
        InetSocketAddress entry = choices.get(number % choices.size());
        String token = "n" + number + TOKEN_OF_ENTRY + entries.indexOf(entry);
        DemoCall call = new DemoCall(
                traced, pipeline, pipeline.priority(), token, "key-" + token, "demo-rolling-caller", false);
        send(call, entry, number);
    }

    private void send(DemoCall call, InetSocketAddress entry, int turn) {
        caller.send(call, entry).thenAccept(answer -> receive(answer, turn));
    }

    private void sendAgain(DemoCall call, int turn) {
        List<InetSocketAddress> choices = ready.isEmpty() ? entries : ready;
        send(call.again(), choices.get(turn % choices.size()), turn);
    }

    private void receive(DemoAnswer answer, int turn) {
        boolean notSent = answer.reason().contains("ConnectException");
        boolean refused = answer.verdict().equals("NOT_RUN") && SENT_AGAIN.contains(answer.reason());
        boolean cut = resendAfterCut && answer.outcome() == DemoAnswer.Outcome.NONE;
        if (notSent || refused || cut) {
            sentAgain.incrementAndGet();
            scheduler.schedule(() -> sendAgain(answer.call(), turn + 1), PERIOD_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        answers.add(answer);
        ended.incrementAndGet();
    }
}
