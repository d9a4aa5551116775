package org.copperspindle.measure;

import java.time.Duration;

import org.copperspindle.config.Priority;
import org.copperspindle.verdict.Verdict;

/**
 * What an entry reports about the requests that it served. Callable from any thread; never blocks.
 */
public interface EntryMeasures {

    /** Measures nothing; for tests and replay. */
    EntryMeasures NONE = new EntryMeasures() {};

    /**
     * An admitted request was answered.
     *
     * @param account  client account
     * @param pipeline pipeline or service
     * @param priority priority it was served with
     * @param verdict  verdict of the answer
     * @param attained whether the caller got its whole answer within the deadline
     * @param took     from admission to the answer
     */
    default void answered(
            String account, String pipeline, Priority priority, Verdict verdict, boolean attained, Duration took) {}

    /**
     * An attempt at a stage ended.
     *
     * @param pipeline pipeline or service
     * @param stage    stage
     * @param verdict  verdict of the attempt
     * @param busy     time that the upstream spent on it, which is the stage's cost; zero if not known
     */
    default void attemptEnded(String pipeline, String stage, Verdict verdict, Duration busy) {}

    /**
     * A request was refused before anything of it ran.
     *
     * @param reason stable name of the reason
     */
    default void refused(String reason) {}
}
