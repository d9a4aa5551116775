package org.copperspindle.dialect;

import com.fasterxml.jackson.databind.JsonNode;
import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.wire.NumericAddress;

/**
 * Names of the fields in which upstreams of a deployment announce themselves. All but the last three are required, since
 * an announcement may come from a sender of another kind or version: one that lacks a field does not identify an
 * upstream.
 *
 * @param pool          name of the pool
 * @param address       IP:PORT for requests
 * @param failureDomain failure domain
 * @param phase         {@code ready} or {@code draining}
 * @param slots         requests that it runs at once
 * @param sequence      sequence number of the announcement within one incarnation
 * @param incarnation   start of that incarnation, milliseconds since 1970; may be absent
 * @param cold          remaining time for which it stays cold, in milliseconds; may be absent
 * @param software      version of its software; may be absent
 */
public record AnnouncementFields(
        String pool,
        String address,
        String failureDomain,
        String phase,
        String slots,
        String sequence,
        String incarnation,
        String cold,
        String software) {

    /**
     * Reads an announcement.
     *
     * @param id   id of the upstream
     * @param body the announcement as JSON
     * @return the announcement
     * @throws IllegalArgumentException if a field is missing or invalid; names the field
     */
    public UpstreamRecord read(String id, JsonNode body) {
        return new UpstreamRecord(
                id,
                readIncarnation(body),
                JsonText.requireText(body, pool),
                NumericAddress.requireValid(JsonText.requireText(body, address)),
                JsonText.requireText(body, failureDomain),
                readPhase(JsonText.requireText(body, phase)),
                (int) Math.min(Integer.MAX_VALUE, JsonText.requireAtLeast(body, slots, 1)),
                JsonText.requireAtLeast(body, sequence, 0),
                0,
                readCold(body),
                readSoftware(body));
    }

    /**
     * Reads the incarnation of the upstream that sent a message.
     *
     * @param body the message as JSON
     * @return its incarnation; {@link UpstreamRecord#UNKNOWN_INCARNATION} if it is absent
     * @throws IllegalArgumentException if it is not a whole number above 0; names the field
     */
    public long readIncarnation(JsonNode body) {
        return body.has(incarnation)
                ? JsonText.requireAtLeast(body, incarnation, 1)
                : UpstreamRecord.UNKNOWN_INCARNATION;
    }

    /** Reads the cold time, rounded up to whole milliseconds so that an upstream does not count as warm too early. */
    private long readCold(JsonNode body) {
        if (!body.hasNonNull(cold)) {
            return 0;
        }
        if (!body.get(cold).isNumber()) {
            throw new IllegalArgumentException(cold + " is not a number");
        }
        return (long) Math.ceil(Math.max(0, body.get(cold).asDouble()));
    }

    private SoftwareVersion readSoftware(JsonNode body) {
        JsonNode stated = body.path(software);
        return stated.isValueNode() && !stated.isNull()
                ? SoftwareVersion.of(stated.asText())
                : SoftwareVersion.UNSTATED;
    }

    private UpstreamPhase readPhase(String text) {
        return switch (text) {
            case "ready" -> UpstreamPhase.READY;
            case "draining" -> UpstreamPhase.DRAINING;
            default -> throw new IllegalArgumentException(phase + " is neither ready nor draining: " + text);
        };
    }
}
