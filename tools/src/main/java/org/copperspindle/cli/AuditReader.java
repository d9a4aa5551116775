package org.copperspindle.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.HexFormat;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.copperspindle.audit.AuditEndpoint;
import org.copperspindle.audit.AuditHead;
import org.copperspindle.audit.AuditRecord;
import org.copperspindle.audit.AuditVerifier;
import org.copperspindle.wire.MalformedFrameException;

/**
 * Reads the audit trail of a control member page by page and verifies it against the chain head in the replicated
 * state.
 */
final class AuditReader {

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient http = HttpClient.newHttpClient();
    private final String control;

    AuditReader(String control) {
        this.control = control;
    }

    AuditVerifier read(Consumer<AuditRecord> consumer) throws IOException, InterruptedException {
        AuditVerifier verifier = new AuditVerifier();
        AuditHead head = AuditHead.EMPTY;
        JsonNode page = fetchPage(0);
        while (!page.path("records").isEmpty()) {
            for (JsonNode encoded : page.path("records")) {
                AuditRecord record = decode(encoded.asText());
                verifier.accept(record, "", -1);
                consumer.accept(record);
            }
            head = parseHead(page);
            if (verifier.head().number() >= head.number()) {
                break;
            }
            page = fetchPage(verifier.head().number());
        }
        // Each page carries the head at that time, since the chain may grow. If records up to the head are missing, an
        // empty page ends the loop above, and the verifier reports the difference.
        verifier.finish(head);
        return verifier;
    }

    private JsonNode fetchPage(long after) throws IOException, InterruptedException {
        URI uri = URI.create("http://" + control + AuditEndpoint.PATH + "?after=" + after);
        HttpRequest request =
                HttpRequest.newBuilder(uri).timeout(REQUEST_TIMEOUT).build();
        HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
        if (response.statusCode() != 200) {
            throw new IOException(
                    "control member responded with HTTP status " + response.statusCode() + ": " + response.body());
        }
        return JSON.readTree(response.body());
    }

    private static AuditHead parseHead(JsonNode page) {
        return new AuditHead(
                page.path("head-number").asLong(),
                HexFormat.of().parseHex(page.path("head-digest").asText()));
    }

    private static AuditRecord decode(String encoded) throws IOException {
        try {
            return AuditRecord.CODEC.decode(Base64.getDecoder().decode(encoded));
        } catch (MalformedFrameException e) {
            throw new IOException("malformed audit record in the response", e);
        }
    }
}
