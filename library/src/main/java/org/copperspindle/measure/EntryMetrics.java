package org.copperspindle.measure;

import java.time.Duration;

import org.copperspindle.pipeline.PipelineAnswer;
import org.copperspindle.pipeline.PipelineRequest;
import org.copperspindle.verdict.Verdict;

/**
 * Receives the events from which the metrics of an entry are derived. Thread-safe; never blocks.
 */
public interface EntryMetrics {

    /** Records nothing; for tests and replay. */
    EntryMetrics NONE = new EntryMetrics() {};

    /**
     * Called when an admitted request has been answered.
     *
     * @param request the request
     * @param answer  its answer; a successful one is complete and was sent within the deadline
     * @param nanos   nanoseconds from admission to the answer
     */
    default void answered(PipelineRequest request, PipelineAnswer answer, long nanos) {}

    /**
     * Called when an attempt at a stage has ended.
     *
     * @param pipeline pipeline or service
     * @param stage    stage
     * @param verdict  verdict of the attempt
     * @param busy     time that the upstream spent on it, which is the cost of the stage; zero if unknown
     */
    default void attemptEnded(String pipeline, String stage, Verdict verdict, Duration busy) {}

    /**
     * Called when a request is refused before any part of it has run.
     *
     * @param reason stable name of the reason
     */
    default void refused(String reason) {}
}
