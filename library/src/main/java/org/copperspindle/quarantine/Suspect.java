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

    private static final Pattern PRINTABLE = Pattern.compile("[!-~]{1,64}");

    static Suspect ofRequest(SuspectDigest digest) {
        return new Suspect(digest, Optional.empty());
    }

    static Suspect ofPromptPart(String pool, String part) {
        return new Suspect(SuspectDigest.ofPromptPart(pool, part), Optional.of(part));
    }

    boolean isPromptPart() {
        return part.isPresent();
    }

    /** Returns the id of the prompt part as one word of bounded length, or its digest; empty for the whole request. */
    String partLabel() {
        return part.map(id -> PRINTABLE.matcher(id).matches() ? id : "digest:" + digest.abbreviated())
                .orElse("");
    }
}
