package org.copperspindle.verdict;

/**
 * The work was dispatched and its outcome is unknown, for example after a lost connection, a timeout or the crash of
 * an agent.
 *
 * @param reason why the outcome is unknown
 */
public record MayHaveRunVerdict(String reason) implements Verdict {

    /** Wire and header form of this verdict. */
    public static final String LABEL = "MAY_HAVE_RUN";

    @Override
    public String label() {
        return LABEL;
    }
}
