package org.copperspindle.dialect;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.copperspindle.batch.MissReason;
import org.copperspindle.batch.PieceOutcome;
import org.copperspindle.batch.StageItem;

/**
 * The default format of calls to stage upstreams.
 */
final class StandardStageFormat implements StageCallFormat {

    private static final String PIECES = "pieces";

    @Override
    public String runPath() {
        return "/v1/pieces";
    }

    @Override
    public String releasePath() {
        return "/v1/results/free";
    }

    @Override
    public JsonNode write(List<StageItem> items) {
        ObjectNode body = JsonText.nodes().objectNode();
        ArrayNode list = body.putArray(PIECES);
        for (StageItem item : items) {
            ObjectNode out = list.addObject();
            out.put("request", item.requestId());
            out.put("stage", item.stage());
            out.put("piece", item.piece());
            out.put("remaining_ms", item.remainingMillis());
            out.put("key", item.key());
            ArrayNode inputs = out.putArray("inputs");
            item.inputs().forEach(inputs::add);
        }
        return body;
    }

    @Override
    public JsonNode writeRelease(List<String> handles) {
        ObjectNode body = JsonText.nodes().objectNode();
        ArrayNode list = body.putArray("handles");
        handles.forEach(list::add);
        return body;
    }

    @Override
    public List<PieceOutcome> read(JsonNode body) {
        List<PieceOutcome> outcomes = new ArrayList<>();
        for (JsonNode piece : body.path(PIECES)) {
            JsonNode handle = piece.path("handle");
            outcomes.add(
                    handle.isTextual()
                            ? new PieceOutcome.Made(handle.textValue())
                            : new PieceOutcome.Missed(
                                    reason(piece.path("missed").asText())));
        }
        return outcomes;
    }

    /** Parses a reason such as {@code input-gone}; one unknown to this build counts as a failure. */
    private static MissReason reason(String text) {
        String name = text.toUpperCase(Locale.ROOT).replace('-', '_');
        for (MissReason reason : MissReason.values()) {
            if (reason.name().equals(name)) {
                return reason;
            }
        }
        return MissReason.FAILED;
    }
}
