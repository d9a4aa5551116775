package org.copperspindle.quarantine;

import java.util.Optional;
import java.util.regex.Pattern;

/**
 * What a request holds that may crash upstreams: its whole content, or one shared part of its prompt.
 *
 * @param digest identifies it
 * @param part   id of the prompt part; empty for the whole request
 */
record Suspect(SuspectDigest digest, Optional<String> part) {

    private static final String DIGEST_LABEL = "digest:";
    private static final Pattern PRINTABLE = Pattern.compile("[!-~]{1,64}");

    static Suspect ofRequest(SuspectDigest digest) {
        return new Suspect(digest, Optional.empty());
    }

    static Suspect ofPromptPart(String pool, String part) {
        return new Suspect(SuspectDigest.ofPromptPart(pool, part), Optional.of(part));
    }

    /** Returns whether a label can be that of a prompt part; only for few parts does its digest need to be computed. */
    static boolean mayHaveLabel(String part, String label) {
        return part.equals(label) || label.startsWith(DIGEST_LABEL);
    }

    boolean isPromptPart() {
        return part.isPresent();
    }

    /** Returns the id of the prompt part as one word of bounded length, or its digest; empty for the whole request. */
    String partLabel() {
        return part.map(id -> PRINTABLE.matcher(id).matches() ? id : DIGEST_LABEL + digest.abbreviated())
                .orElse("");
    }
}
