package org.copperspindle.verdict;

/**
 * Creates verdicts from their wire form.
 */
public final class VerdictFactory {

    private VerdictFactory() {}

    /**
     * Parses a verdict. An unknown label, as a newer peer might send, becomes a {@link MayHaveRunVerdict}, the only
     * verdict that guarantees nothing.
     *
     * @param label  wire form of the verdict
     * @param reason reason sent with it
     * @return the verdict
     */
    public static Verdict of(String label, String reason) {
        if (NotRunVerdict.LABEL.equals(label)) {
            return new NotRunVerdict(reason);
        }
        if (RanVerdict.LABEL.equals(label)) {
            return new RanVerdict(reason);
        }
        return new MayHaveRunVerdict(reason);
    }
}
