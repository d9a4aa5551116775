package org.copperspindle.dialect;

import com.fasterxml.jackson.databind.JsonNode;
import org.copperspindle.discovery.UpstreamRecord;

/**
 * The default format of control requests.
 */
final class StandardControlFormat implements ControlFormat {

    private static final String UPSTREAMS = "/v1/upstreams/";
    private static final String TABLE = "/v1/table";
    private static final AnnouncementFields UPSTREAM = new AnnouncementFields(
            "pool", "address", "failure_domain", "phase", "slots", "sequence", "incarnation", "cold_ms", "software");

    @Override
    public ControlCall announce() {
        return new ControlCall("PUT", UPSTREAMS);
    }

    @Override
    public ControlCall leave() {
        return new ControlCall("DELETE", UPSTREAMS);
    }

    @Override
    public ControlCall putTable() {
        return new ControlCall("PUT", TABLE);
    }

    @Override
    public ControlCall readTable() {
        return new ControlCall("GET", TABLE);
    }

    @Override
    public ControlCall evacuate() {
        return EvacuationEndpoint.BEGIN;
    }

    @Override
    public ControlCall endEvacuation() {
        return EvacuationEndpoint.END;
    }

    @Override
    public String tableType() {
        return "text/plain; charset=utf-8";
    }

    @Override
    public JsonNode acceptedBody(long version) {
        return JsonText.nodes().objectNode().put("version", version);
    }

    @Override
    public JsonNode errorBody(String text) {
        return JsonText.nodes().objectNode().put("problem", text);
    }

    @Override
    public UpstreamRecord readAnnouncement(String id, JsonNode body) {
        return UPSTREAM.read(id, body);
    }

    @Override
    public long readDeparture(JsonNode body) {
        return UPSTREAM.readIncarnation(body);
    }
}
