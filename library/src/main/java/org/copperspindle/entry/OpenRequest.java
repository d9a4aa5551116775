package org.copperspindle.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.copperspindle.pipeline.PipelineAction;
import org.copperspindle.pipeline.PipelineRequest;
import org.copperspindle.pipeline.PipelineRun;
import org.copperspindle.pipeline.UpstreamChooser;
import org.copperspindle.time.TimerSubscription;

/**
 * One request in progress at an entry.
 */
final class OpenRequest {

    private final PipelineRequest request;
    private final UpstreamChooser chooser;
    private final PipelineRun run;
    private final AnswerSink sink;
    private final long since;
    private final Deque<PipelineAction> actions = new ArrayDeque<>();
    private final List<OpenAttempt> attempts = new ArrayList<>(2);
    private TimerSubscription deadline = () -> {};
    private TimerSubscription waiting = () -> {};
    private boolean performing;
    private boolean released;

    OpenRequest(PipelineRequest request, UpstreamChooser chooser, AnswerSink sink, long since) {
        this.request = request;
        this.chooser = chooser;
        this.run = new PipelineRun(request, chooser);
        this.sink = sink;
        this.since = since;
    }

    String id() {
        return request.requestId();
    }

    PipelineRequest request() {
        return request;
    }

    UpstreamChooser chooser() {
        return chooser;
    }

    PipelineRun run() {
        return run;
    }

    /** Instant of the admission, in nanoseconds of the timer service. */
    long since() {
        return since;
    }

    AnswerSink sink() {
        return sink;
    }

    Deque<PipelineAction> actions() {
        return actions;
    }

    /** Attempts of this request that the driver waits for. */
    List<OpenAttempt> attempts() {
        return attempts;
    }

    Optional<OpenAttempt> attempt(String attemptId) {
        return attempts.stream().filter(a -> a.id().equals(attemptId)).findFirst();
    }

    void deadline(TimerSubscription subscription) {
        deadline = subscription;
    }

    void waiting(TimerSubscription subscription) {
        waiting.cancel();
        waiting = subscription;
    }

    void cancelDeadline() {
        waiting.cancel();
        deadline.cancel();
    }

    boolean performing() {
        return performing;
    }

    void performing(boolean value) {
        performing = value;
    }

    /** Marks the request as released to the policy; returns true on the first call only. */
    boolean release() {
        boolean first = !released;
        released = true;
        return first;
    }
}
