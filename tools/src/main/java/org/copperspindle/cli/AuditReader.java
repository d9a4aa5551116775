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
import org.copperspindle.audit.AuditDoor;
import org.copperspindle.audit.AuditHead;
import org.copperspindle.audit.AuditRecord;
import org.copperspindle.audit.AuditVerifier;
import org.copperspindle.wire.MalformedFrameException;

/**
 * Reads the trail of a control member page by page and verifies it against the chain's end in the replicated state.
 */
final class AuditReader {

    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient http = HttpClient.newHttpClient();
    private final String control;

    AuditReader(String control) {
        this.control = control;
    }

    AuditVerifier read(Consumer<AuditRecord> consumer) throws IOException, InterruptedException {
        AuditVerifier verifier = new AuditVerifier();
        AuditHead end = AuditHead.EMPTY;
        JsonNode page = page(0);
        while (!page.path("records").isEmpty()) {
            for (JsonNode encoded : page.path("records")) {
                AuditRecord record = decode(encoded.asText());
                verifier.accept(record, "", -1);
                consumer.accept(record);
            }
            end = head(page);
            if (verifier.head().number() >= end.number()) {
                break;
            }
            page = page(verifier.head().number());
        }
        // The member answers with the chain's end of the moment; a page that stops short of it ends the loop above.
        verifier.finish(end);
        return verifier;
    }

    private JsonNode page(long after) throws IOException, InterruptedException {
        URI uri = URI.create("http://" + control + AuditDoor.PATH + "?after=" + after);
        HttpRequest request = HttpRequest.newBuilder(uri).timeout(TIMEOUT).build();
        HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
        if (response.statusCode() != 200) {
            throw new IOException("the control member answered " + response.statusCode() + ": " + response.body());
        }
        return JSON.readTree(response.body());
    }

    private static AuditHead head(JsonNode page) {
        return new AuditHead(
                page.path("head-number").asLong(),
                HexFormat.of().parseHex(page.path("head-digest").asText()));
    }

    private static AuditRecord decode(String encoded) throws IOException {
        try {
            return AuditRecord.CODEC.decode(Base64.getDecoder().decode(encoded));
        } catch (MalformedFrameException e) {
            throw new IOException("a record can't be read", e);
        }
    }
}
