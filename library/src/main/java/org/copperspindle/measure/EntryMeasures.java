package org.copperspindle.measure;

import java.time.Duration;

import org.copperspindle.pipeline.PipelineAnswer;
import org.copperspindle.pipeline.PipelineRequest;
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
     * @param request the request
     * @param answer  its answer; a successful one is whole and was given within the deadline
     * @param nanos   from admission to the answer
     */
    default void answered(PipelineRequest request, PipelineAnswer answer, long nanos) {}

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
