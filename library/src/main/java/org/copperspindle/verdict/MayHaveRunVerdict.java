package org.copperspindle.verdict;

/**
 * The work was handed over and its outcome is unknown: a lost connection, a timeout, an agent that died.
 *
 * @param reason what was lost
 */
public record MayHaveRunVerdict(String reason) implements Verdict {

    /** Wire and header form of this verdict. */
    public static final String LABEL = "MAY_HAVE_RUN";

    @Override
    public String label() {
        return LABEL;
    }
}
