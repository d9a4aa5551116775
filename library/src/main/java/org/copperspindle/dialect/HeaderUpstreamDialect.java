package org.copperspindle.dialect;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.copperspindle.backpressure.BackoffSignal;
import org.copperspindle.backpressure.LimitSignal;
import org.copperspindle.backpressure.UpstreamLoadSignal;
import org.copperspindle.direct.ConnectionUse;
import org.copperspindle.direct.DirectCall;
import org.copperspindle.direct.DirectHead;
import org.copperspindle.direct.ResponseCheck;
import org.copperspindle.gateway.AttemptSpec;
import org.copperspindle.gateway.GatewayRequest;
import org.copperspindle.gateway.UpstreamDialect;
import org.copperspindle.http.HeaderField;

/**
 * Writes calls to upstreams with their parameters in header fields, and reads the fields of their responses.
 */
public final class HeaderUpstreamDialect implements UpstreamDialect {

    private static final int MISDIRECTED = 421;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    private static final String LEAVING = "1";
    private static final int MAX_RANK = 9;

    private final HeaderNames names;

    /**
     * Creates the dialect.
     *
     * @param names names of the fields
     */
    public HeaderUpstreamDialect(HeaderNames names) {
        this.names = names;
    }

    @Override
    public DirectCall write(AttemptSpec attempt) {
        GatewayRequest request = attempt.request();
        List<HeaderField> fields = new ArrayList<>(request.fields());
        fields.add(new HeaderField(names.deadline(), Long.toString(attempt.remainingMillis())));
        fields.add(new HeaderField(names.expectedUpstream(), attempt.upstream().id()));
        fields.add(new HeaderField(names.rank(), Integer.toString(Math.min(MAX_RANK, attempt.rank()))));
        attempt.account().ifPresent(name -> fields.add(new HeaderField(names.account(), name)));
        attempt.inputs().ifPresent(handles -> fields.add(new HeaderField(names.inputs(), String.join(",", handles))));
        attempt.resumeAfter().ifPresent(id -> fields.add(new HeaderField(HeaderFields.LAST_EVENT_ID, id)));
        return new DirectCall(
                attempt.upstream().id(),
                attempt.upstream().address(),
                request.method(),
                request.uri(),
                fields,
                request.body(),
                request.id(),
                ResponseCheck.REPEATED_ID,
                connectionUse(attempt));
    }

    /** A response to a request without an id can't be told from a late one to the request before on its connection. */
    private static ConnectionUse connectionUse(AttemptSpec attempt) {
        return attempt.request().id().isEmpty() ? ConnectionUse.NEW : attempt.connectionUse();
    }

    @Override
    public boolean provesNotRun(DirectHead head) {
        return head.status() == MISDIRECTED || head.field(names.notRun()).isPresent();
    }

    @Override
    public boolean reportsMissingInputs(DirectHead head) {
        return head.status() == CONFLICT && head.field(names.notRun()).isPresent();
    }

    @Override
    public Optional<String> otherUpstream(DirectHead head) {
        return head.status() == MISDIRECTED ? head.field(names.answeringUpstream()) : Optional.empty();
    }

    @Override
    public boolean isMisdirected(DirectHead head) {
        return head.status() == MISDIRECTED;
    }

    @Override
    public LimitSignal limit(DirectHead head) {
        return LimitSignal.of(head.values(names.limit()));
    }

    @Override
    public BackoffSignal backoff(DirectHead head) {
        return head.status() == UNAVAILABLE
                ? BackoffSignal.of(head.values(HeaderFields.RETRY_AFTER))
                : BackoffSignal.ABSENT;
    }

    @Override
    public UpstreamLoadSignal load(DirectHead head) {
        return UpstreamLoadSignal.of(head.values(names.load()));
    }

    @Override
    public boolean isLeaving(DirectHead head) {
        return head.values(names.leaving()).stream()
                .anyMatch(value -> value.trim().equals(LEAVING));
    }

    @Override
    public List<HeaderField> callerFields(DirectHead head) {
        return HeaderFields.forwarded(head.fields(), Set.of(), Set.of());
    }
}
