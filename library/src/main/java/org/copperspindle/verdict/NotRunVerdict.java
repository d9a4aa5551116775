package org.copperspindle.verdict;

/**
 * The work did not run and never will. It was refused before dispatch, or by an agent that recorded the refusal, so
 * that it refuses a delayed copy of the order as well. A timeout alone never gives this verdict.
 *
 * @param reason why the work can't have run, for example {@code draining}
 */
public record NotRunVerdict(String reason) implements Verdict {

    /** Wire and header form of this verdict. */
    public static final String LABEL = "NOT_RUN";

    @Override
    public String label() {
        return LABEL;
    }
}
