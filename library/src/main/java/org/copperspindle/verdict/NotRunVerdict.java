package org.copperspindle.verdict;

/**
 * The work did not run and never will: refused before dispatch, or refused by an agent that recorded the refusal, so
 * that a delayed copy of the order is refused as well. A timeout alone never leads here.
 *
 * @param reason the proof in short, for example {@code draining}
 */
public record NotRunVerdict(String reason) implements Verdict {

    /** Wire and header form of this verdict. */
    public static final String LABEL = "NOT_RUN";

    @Override
    public String label() {
        return LABEL;
    }
}
