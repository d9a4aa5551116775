package org.copperspindle.verdict;

/**
 * Whether a unit of work may have run on an upstream. Every attempt and every response carries one.
 *
 * <p>Retries depend on it: work that is not repeatable is dispatched again only after a {@link NotRunVerdict}.
 */
public sealed interface Verdict permits NotRunVerdict, MayHaveRunVerdict, RanVerdict {

    /**
     * Returns the name used on the wire, in HTTP headers, in logs and in metrics.
     *
     * @return {@code NOT_RUN}, {@code MAY_HAVE_RUN} or {@code RAN}
     */
    String label();

    /**
     * Returns why this verdict was reached, for logs and problem details.
     *
     * @return a short reason in lower case, empty if there is nothing to add
     */
    String reason();
}
