package org.copperspindle.demo;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A trace to replay. The file holds JSON lines: first a header with {@code format} {@value #FORMAT}, {@code version}
 * and {@code deployment}, then one {@link TraceCall} on each line, in the order of their times.
 *
 * @param deployment name of the deployment that it was made for
 * @param origin     where it comes from
 * @param calls      in the order of their times
 */
public record DemoTrace(String deployment, String origin, List<TraceCall> calls) {

    private static final String FORMAT = "copperspindle-trace";
    private static final int VERSION = 1;
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Loads the trace that ships for a deployment.
     *
     * @param deployment name of the deployment
     * @return the trace, if one ships
     * @throws IOException if it can't be read
     */
    public static Optional<DemoTrace> shipped(String deployment) throws IOException {
        String resource = "/traces/" + deployment + ".jsonl";
        try (InputStream in = DemoTrace.class.getResourceAsStream(resource)) {
            return in == null ? Optional.empty() : Optional.of(read(resource, in));
        }
    }

    /**
     * Loads a trace file.
     *
     * @param file the file
     * @return the trace
     * @throws IOException if it can't be read or is not a trace
     */
    public static DemoTrace load(Path file) throws IOException {
        try (InputStream in = Files.newInputStream(file)) {
            return read(file.toString(), in);
        }
    }

    /**
     * Returns the time of the last call.
     *
     * @return milliseconds since the start of the trace
     */
    public long lengthMillis() {
        return calls.isEmpty() ? 0 : calls.get(calls.size() - 1).atMillis();
    }

    private static DemoTrace read(String name, InputStream in) throws IOException {
        BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
        String first = reader.readLine();
        JsonNode header = JSON.readTree(first == null ? "{}" : first);
        if (!header.path("format").asText().equals(FORMAT)
                || header.path("version").asInt() != VERSION) {
            throw new IOException(name + ": line 1 is not the header of a " + FORMAT + " of version " + VERSION);
        }
        List<TraceCall> calls = new ArrayList<>();
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            calls.add(JSON.readValue(line, TraceCall.class));
        }
        return new DemoTrace(
                header.path("deployment").asText(), header.path("origin").asText(), List.copyOf(calls));
    }
}
