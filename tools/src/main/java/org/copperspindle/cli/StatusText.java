package org.copperspindle.cli;

import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Formats the JSON status of a control member as text.
 */
final class StatusText {

    private StatusText() {}

    static String of(JsonNode status) {
        StringBuilder out = new StringBuilder();
        appendLine(
                out,
                "leader %s  term %d  version %d  digest %s",
                status.path("leads").asBoolean() ? "this member" : textOrNone(status.path("leader")),
                status.path("term").asLong(),
                status.path("version").asLong(),
                status.path("digest").asText());
        out.append("\nchanges under way\n");
        for (JsonNode change : status.path("changes")) {
            appendLine(
                    out,
                    "  version %d  change %s  operator %s  %s",
                    change.path("version").asLong(),
                    change.path("changeId").asText(),
                    change.path("operator").asText(),
                    change.path("waiting").asText());
        }
        out.append("\nmembers\n");
        for (JsonNode member : status.path("members")) {
            appendLine(
                    out,
                    "  %-24s %-6s version %-8s lease %d ms",
                    member.path("id").asText(),
                    member.path("role").asText(),
                    member.path("version").asText(),
                    member.path("leaseMillis").asLong());
        }
        out.append("\nupstreams (membership revision ")
                .append(status.path("revision").asLong())
                .append(")\n");
        Set<Map.Entry<String, JsonNode>> pools = status.path("upstreams").properties();
        for (Map.Entry<String, JsonNode> pool : pools) {
            appendLine(
                    out,
                    "  %-24s serving %d  draining %d",
                    pool.getKey(),
                    pool.getValue().path("serving").asLong(),
                    pool.getValue().path("draining").asLong());
        }
        return out.toString().stripTrailing();
    }

    private static String textOrNone(JsonNode text) {
        return text.asText().isEmpty() ? "none known" : text.asText();
    }

    private static void appendLine(StringBuilder out, String format, Object... values) {
        out.append(String.format(format, values)).append('\n');
    }
}
