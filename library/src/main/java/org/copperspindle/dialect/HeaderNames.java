package org.copperspindle.dialect;

import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Names of the header fields that callers and upstreams of a deployment use.
 *
 * @param requestId         id of one attempt of a caller
 * @param resumes           id of the request whose response brought the first event of a stream that is taken up
 * @param deadline          caller's timeout in milliseconds; towards an upstream, the remaining time
 * @param prompt            parts of the prompt as ID:TOKENS, in order, separated by commas
 * @param pieces            number of pieces of each stage, separated by commas
 * @param pieceKey          key from which the pieces of stages without predecessors are computed
 * @param expectedUpstream  id of the only upstream that may run the request
 * @param answeringUpstream id of the upstream that responded
 * @param account           name of the client account that holds the key
 * @param rank              urgency, 0 first
 * @param inputs            handles of all stage results that the request needs, separated by commas
 * @param notRun            present if an upstream states that it did not run the request
 * @param limit             requests per second that an upstream accepts from all nodes together
 * @param leaving           present as "1" in the responses of an upstream that leaves
 * @param load              running requests, waiting requests, slots and perhaps the pace of an upstream
 * @param forwarded         names in lower case of the fields that upstreams need to run the same request and that are not read here
 * @param reserved          names in lower case of all fields that only the system may set; a caller's are dropped
 */
public record HeaderNames(
        String requestId,
        String resumes,
        String deadline,
        String prompt,
        String pieces,
        String pieceKey,
        String expectedUpstream,
        String answeringUpstream,
        String account,
        String rank,
        String inputs,
        String notRun,
        String limit,
        String leaving,
        String load,
        Set<String> forwarded,
        Set<String> reserved) {

    /** The default names. */
    public static final HeaderNames STANDARD = new HeaderNames(
            "X-Request-Id",
            "Copperspindle-Resumes",
            "Copperspindle-Deadline-Ms",
            "Copperspindle-Prompt",
            "Copperspindle-Pieces",
            "Copperspindle-Piece-Key",
            "Copperspindle-Upstream",
            "Copperspindle-Answered-By",
            "Copperspindle-Account",
            "Copperspindle-Rank",
            "Copperspindle-Inputs",
            "Copperspindle-Not-Run",
            "Copperspindle-Limit",
            "Copperspindle-Leaving",
            "Copperspindle-Load",
            Set.of(),
            Set.of(
                    "copperspindle-deadline-ms",
                    "copperspindle-upstream",
                    "copperspindle-account",
                    "copperspindle-rank",
                    "copperspindle-inputs",
                    "last-event-id",
                    "authorization"));

    /** Copies the sets. */
    public HeaderNames {
        forwarded = Set.copyOf(forwarded);
        reserved = Set.copyOf(reserved);
    }

    /**
     * Returns the fields of callers that upstreams need to run the same request, which a connection option does not remove.
     * Other fields that decide about a request are reserved: they are read whatever the connection options are, and written
     * anew for each upstream.
     *
     * @return their names in lower case
     */
    Set<String> endToEnd() {
        Stream<String> named = Stream.of(
                requestId,
                resumes,
                prompt,
                pieces,
                pieceKey,
                HeaderFields.HOST,
                HeaderFields.CONTENT_TYPE,
                HeaderFields.CONTENT_ENCODING);
        return Stream.concat(named.map(name -> name.toLowerCase(Locale.ROOT)), forwarded.stream())
                .collect(Collectors.toUnmodifiableSet());
    }
}
