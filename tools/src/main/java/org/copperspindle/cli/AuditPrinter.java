package org.copperspindle.cli;

import java.io.PrintStream;
import java.time.Instant;
import java.util.HexFormat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.copperspindle.audit.AuditEntry;
import org.copperspindle.audit.AuditFilter;
import org.copperspindle.audit.AuditRecord;
import org.copperspindle.audit.AuditVerifier;
import org.copperspindle.wire.MalformedFrameException;

/**
 * Prints audit records and the verification result as text or as JSON, one JSON object per line.
 */
final class AuditPrinter {

    private final PrintStream out;
    private final AuditFilter filter;
    private final boolean json;

    AuditPrinter(PrintStream out, AuditFilter filter, String format) {
        this.out = out;
        this.filter = filter;
        this.json = format.equals("json");
    }

    void print(AuditRecord record) {
        try {
            AuditEntry entry = record.entry();
            if (filter.accepts(entry)) {
                out.println(json ? toJson(record, entry).toString() : toText(record, entry));
            }
        } catch (MalformedFrameException e) {
            out.println("record=" + record.number() + " unreadable");
        }
    }

    void finish(AuditVerifier verifier, boolean modified) {
        String result = modified ? "changed" : "intact";
        if (json) {
            ObjectNode node = JsonNodeFactory.instance.objectNode();
            node.put("chain", result).put("checked", verifier.checked());
            node.put("head-number", verifier.head().number())
                    .put("head-digest", verifier.head().hex());
            ArrayNode findings = node.putArray("findings");
            verifier.findings().forEach(f -> findings.add(f.text()));
            out.println(node);
            return;
        }
        verifier.findings().forEach(f -> out.println(f.text()));
        out.println("chain=" + result + " checked=" + verifier.checked() + " head="
                + verifier.head().number() + " digest=" + verifier.head().hex());
    }

    private static String toText(AuditRecord record, AuditEntry entry) {
        StringBuilder line = new StringBuilder();
        line.append("record=").append(record.number());
        line.append(" time=").append(Instant.ofEpochMilli(entry.acceptedAtMillis()));
        line.append(" kind=").append(entry.kind().label());
        line.append(" actor=").append(entry.actor());
        line.append(" subject=").append(entry.subject());
        line.append(" base=").append(entry.baseVersion());
        line.append(" version=").append(entry.version());
        line.append(" term=").append(record.term());
        line.append(" index=").append(record.index());
        entry.details().forEach(d -> line.append("\n    ").append(d));
        return line.toString();
    }

    private static ObjectNode toJson(AuditRecord record, AuditEntry entry) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("record", record.number())
                .put("time", Instant.ofEpochMilli(entry.acceptedAtMillis()).toString())
                .put("kind", entry.kind().label())
                .put("actor", entry.actor())
                .put("subject", entry.subject())
                .put("base", entry.baseVersion())
                .put("version", entry.version())
                .put("term", record.term())
                .put("index", record.index())
                .put("previous", HexFormat.of().formatHex(record.previous()));
        ArrayNode details = node.putArray("details");
        entry.details().forEach(details::add);
        return node;
    }
}
