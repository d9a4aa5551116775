package org.copperspindle.verdict;

/**
 * The work ran and its outcome, success or failure, is known.
 *
 * @param reason details of the outcome, empty for success
 */
public record RanVerdict(String reason) implements Verdict {

    /** Wire and header form of this verdict. */
    public static final String LABEL = "RAN";

    /** Verdict of work that ran and succeeded. */
    public static final RanVerdict SUCCESS = new RanVerdict("");

    @Override
    public String label() {
        return LABEL;
    }
}
