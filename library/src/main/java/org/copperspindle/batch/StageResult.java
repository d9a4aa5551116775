package org.copperspindle.batch;

import java.util.ArrayList;
import java.util.List;

import org.copperspindle.discovery.UpstreamIncarnation;
import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;

/**
 * A result of a piece. It does not outlive the incarnation of the upstream that holds it; the address that its handle may
 * begin with can belong to another upstream later, and says nothing about who holds the result.
 *
 * @param handle   identifies the result at its producer; opaque
 * @param producer the upstream that made and holds it; {@link UpstreamIncarnation#UNKNOWN} if a node of a former build
 *                 has passed it on
 */
public record StageResult(String handle, UpstreamIncarnation producer) {

    /**
     * Returns the handles of results.
     *
     * @param results the results
     * @return their handles in the same order
     */
    public static List<String> handles(List<StageResult> results) {
        return results.stream().map(StageResult::handle).toList();
    }

    /**
     * Writes results as two lists of the same length. Nodes of a former build read the handles only.
     *
     * @param out            the message
     * @param handlesField   number of the field with the handles
     * @param producersField number of the field with their producers
     * @param results        the results
     */
    static void write(FieldWriter out, int handlesField, int producersField, List<StageResult> results) {
        List<String> producers =
                results.stream().map(result -> result.producer().encode()).toList();
        out.putStrings(handlesField, handles(results)).putStrings(producersField, producers);
    }

    /**
     * Reads what {@link #write} wrote.
     *
     * @param in             the message
     * @param handlesField   number of the field with the handles
     * @param producersField number of the field with their producers
     * @return the results; without their producers if the sender is of a former build
     */
    static List<StageResult> read(FieldReader in, int handlesField, int producersField) {
        List<String> handles = in.getStrings(handlesField);
        List<String> producers = in.getStrings(producersField);
        List<StageResult> results = new ArrayList<>();
        for (int i = 0; i < handles.size(); i++) {
            String producer = i < producers.size() ? producers.get(i) : "";
            results.add(new StageResult(handles.get(i), UpstreamIncarnation.decode(producer)));
        }
        return results;
    }
}
