package org.copperspindle.pipeline;

import java.util.Optional;

import org.copperspindle.config.PipelineSettings;
import org.copperspindle.verdict.MayHaveRunVerdict;
import org.copperspindle.verdict.NotRunVerdict;
import org.copperspindle.verdict.Verdict;

/**
 * Decides what an arrival is told of which nothing ran.
 *
 * <p>Safeguard: an unrepeatable request that brought its own key may be a resend, and an earlier arrival of the key may
 * have run or still run. Its caller, told {@code NOT_RUN}, would take a new key, and the work would be done twice. So it
 * is told {@code MAY_HAVE_RUN} and to ask again with the same key. Enough, because a key minted by the entry is carried by
 * no other arrival, and a claim judges the next arrival of the same key.
 */
public final class RefusalVerdictPolicy {

    private static final String ADVICE = "; ask again with the same key";

    private RefusalVerdictPolicy() {}

    /**
     * Says whether an earlier arrival of the same key may have run.
     *
     * @param callerKey whether the caller brought the key
     * @param pipeline  the pipeline that is called, empty where it is not known: it may have been configured before
     * @return true unless that is ruled out
     */
    public static boolean mayBeResend(boolean callerKey, Optional<PipelineSettings> pipeline) {
        return callerKey && !pipeline.map(PipelineSettings::repeatable).orElse(false);
    }

    /**
     * Returns the verdict on an arrival of which nothing ran.
     *
     * @param mayBeResend whether an earlier arrival of the same key may have run
     * @param reason      why it is refused
     * @return what its caller is told
     */
    public static Verdict verdict(boolean mayBeResend, String reason) {
        return mayBeResend ? new MayHaveRunVerdict(reason) : new NotRunVerdict(reason);
    }

    /**
     * Words a refusal for people.
     *
     * @param mayBeResend whether an earlier arrival of the same key may have run
     * @param title       what happened
     * @return the title, with what the caller should do where its key matters
     */
    public static String title(boolean mayBeResend, String title) {
        return mayBeResend ? title + ADVICE : title;
    }
}
