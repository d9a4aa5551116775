package org.copperspindle.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.copperspindle.config.Deployment;
import org.copperspindle.config.PipelineSettings;
import org.copperspindle.config.Priority;

/**
 * Reads trace files with one JSON object per line. The first line is of kind {@code trace} and holds the version of
 * the format. A line of kind {@code include} adds the requests and loads of another trace file in the same folder.
 */
public final class TraceReader {

    /** Supported version of the trace format. */
    public static final int VERSION = 1;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MILLI = 1e6;

    private final Deployment deployment;
    private final List<TraceRequest> requests = new ArrayList<>();
    private final List<TraceFault> faults = new ArrayList<>();
    private final List<TraceOutcome> outcomes = new ArrayList<>();
    private String name = "";
    private long seed;
    private int entries = 1;
    private int streams;

    private TraceReader(Deployment deployment) {
        this.deployment = deployment;
    }

    /**
     * Reads a trace and checks its names against a deployment.
     *
     * @param path       the trace file
     * @param deployment deployment that it is replayed with
     * @return the trace
     * @throws IOException if it can't be read; a {@link TraceException} names the line
     */
    public static Trace read(Path path, Deployment deployment) throws IOException {
        TraceReader reader = new TraceReader(deployment);
        reader.readFile(path, false);
        reader.requests.sort(Comparator.comparingLong(TraceRequest::atNanos));
        reader.faults.sort(Comparator.comparingLong(TraceFault::fromNanos));
        return new Trace(
                reader.name,
                reader.seed,
                reader.entries,
                List.copyOf(reader.requests),
                List.copyOf(reader.faults),
                List.copyOf(reader.outcomes));
    }

    private void readFile(Path path, boolean included) throws IOException {
        List<String> lines = Files.readAllLines(path);
        for (int i = 0; i < lines.size(); i++) {
            if (lines.get(i).isBlank()) {
                continue;
            }
            try {
                readLine(path, JSON.readTree(lines.get(i)), i == 0, included);
            } catch (IllegalArgumentException | com.fasterxml.jackson.core.JacksonException e) {
                throw new TraceException(path.toString(), i + 1, e.getMessage());
            }
        }
    }

    private void readLine(Path path, JsonNode node, boolean first, boolean included) throws IOException {
        String kind = text(node, "kind");
        require(first == kind.equals("trace"), "the first line, and only it, must be of kind trace");
        switch (kind) {
            case "trace" -> readHead(node, included);
            case "include" -> readFile(path.resolveSibling(text(node, "file")), true);
            case "request" -> requests.add(readRequest(node));
            case "load" -> requests.addAll(TraceGenerator.expand(readLoad(node), seed, ++streams));
            case "fault" -> addUnless(included, faults, readFault(node));
            case "outcome" -> addUnless(included, outcomes, readOutcome(node));
            default -> throw new IllegalArgumentException("unknown kind '" + kind + "'");
        }
    }

    private void readHead(JsonNode node, boolean included) {
        require(node.path("version").asInt() == VERSION, "this build reads version " + VERSION);
        if (included) {
            return;
        }
        name = text(node, "name");
        seed = node.path("seed").asLong();
        entries = node.path("entries").asInt(1);
        require(entries > 0, "entries must be at least 1");
    }

    private TraceRequest readRequest(JsonNode node) {
        PipelineSettings pipeline = pipeline(node);
        return new TraceRequest(
                nanos(node, "at_s", NANOS_PER_SECOND, 0),
                account(node),
                pipeline.name(),
                priority(node).orElse(pipeline.priority()),
                nanos(node, "deadline_ms", NANOS_PER_MILLI, pipeline.deadline().toNanos()),
                node.path("prefix").asLong(),
                work(node, pipeline));
    }

    private TraceLoad readLoad(JsonNode node) {
        PipelineSettings pipeline = pipeline(node);
        double perSecond = node.path("per_s").asDouble();
        require(perSecond > 0, "per_s must be above 0");
        return new TraceLoad(
                nanos(node, "from_s", NANOS_PER_SECOND, 0),
                nanos(node, "to_s", NANOS_PER_SECOND, 0),
                perSecond,
                account(node),
                pipeline.name(),
                priority(node).orElse(pipeline.priority()),
                nanos(node, "deadline_ms", NANOS_PER_MILLI, pipeline.deadline().toNanos()),
                node.path("prefixes").asInt(),
                work(node, pipeline),
                node.path("spread").asDouble(0.3));
    }

    private TraceFault readFault(JsonNode node) {
        String pool = node.path("pool").asText("");
        require(pool.isEmpty() || deployment.pools().containsKey(pool), "unknown pool '" + pool + "'");
        String domain = node.path("failure_domain").asText("");
        require(
                domain.isEmpty() || deployment.failureDomains().contains(domain),
                "unknown failure domain '" + domain + "'");
        return new TraceFault(
                nanos(node, "from_s", NANOS_PER_SECOND, 0),
                nanos(node, "to_s", NANOS_PER_SECOND, 0),
                FaultEffect.valueOf(constant(text(node, "effect"))),
                pool,
                domain,
                node.path("count").asInt(),
                node.path("factor").asDouble(1),
                nanos(node, "lag_ms", NANOS_PER_MILLI, 0));
    }

    private TraceOutcome readOutcome(JsonNode node) {
        List<String> accounts = new ArrayList<>();
        node.path("accounts").forEach(account -> accounts.add(account.asText()));
        return new TraceOutcome(
                OutcomeMeasure.valueOf(constant(text(node, "measure"))),
                priority(node),
                node.path("pipeline").asText(""),
                List.copyOf(accounts),
                bound(node, "at_least"),
                bound(node, "at_most"));
    }

    private String account(JsonNode node) {
        String account = text(node, "account");
        require(deployment.accounts().containsKey(account), "unknown account '" + account + "'");
        return account;
    }

    private PipelineSettings pipeline(JsonNode node) {
        String pipeline = text(node, "pipeline");
        return deployment
                .pipeline(pipeline)
                .orElseThrow(() -> new IllegalArgumentException("unknown pipeline '" + pipeline + "'"));
    }

    private static Map<String, Long> work(JsonNode node, PipelineSettings pipeline) {
        Map<String, Long> work = new LinkedHashMap<>();
        pipeline.stages().forEach(stage -> {
            double millis = node.path("work_ms").path(stage.name()).asDouble();
            require(millis > 0, "work_ms lacks stage '" + stage.name() + "'");
            work.put(stage.name(), (long) (millis * NANOS_PER_MILLI));
        });
        return work;
    }

    private static Optional<Priority> priority(JsonNode node) {
        return Optional.of(node.path("priority").asText(""))
                .filter(text -> !text.isEmpty())
                .map(text -> Priority.valueOf(constant(text)));
    }

    private static Optional<Double> bound(JsonNode node, String key) {
        return node.has(key) ? Optional.of(node.path(key).asDouble()) : Optional.empty();
    }

    private static long nanos(JsonNode node, String key, double unit, long fallback) {
        return node.has(key) ? (long) (node.path(key).asDouble() * unit) : fallback;
    }

    private static String constant(String text) {
        return text.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    private static String text(JsonNode node, String key) {
        require(node.path(key).isTextual(), "'" + key + "' is missing");
        return node.path(key).asText();
    }

    private static <T> void addUnless(boolean included, List<T> list, T item) {
        if (!included) {
            list.add(item);
        }
    }

    private static void require(boolean condition, String problem) {
        if (!condition) {
            throw new IllegalArgumentException(problem);
        }
    }
}
