package org.copperspindle.dialect;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.copperspindle.backpressure.BackoffSignal;
import org.copperspindle.backpressure.LimitSignal;
import org.copperspindle.direct.DirectCall;
import org.copperspindle.direct.DirectHead;
import org.copperspindle.gateway.AttemptSpec;
import org.copperspindle.gateway.GatewayRequest;
import org.copperspindle.gateway.UpstreamDialect;
import org.copperspindle.http.HeaderField;

/**
 * Upstreams that are told what to run in header fields.
 */
public final class HeaderUpstreamDialect implements UpstreamDialect {

    private static final int MISDIRECTED = 421;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    private static final String LEAVES = "1";
    private static final int LOWEST_RANK = 9;

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
    public DirectCall write(AttemptSpec order) {
        GatewayRequest request = order.request();
        List<HeaderField> fields = new ArrayList<>(request.fields());
        fields.add(new HeaderField(names.deadline(), Long.toString(order.remainingMillis())));
        fields.add(new HeaderField(names.expectedUpstream(), order.upstream().id()));
        fields.add(new HeaderField(names.rank(), Integer.toString(Math.min(LOWEST_RANK, order.rank()))));
        order.account().ifPresent(name -> fields.add(new HeaderField(names.account(), name)));
        order.inputs().ifPresent(handles -> fields.add(new HeaderField(names.inputs(), String.join(",", handles))));
        order.resumeAfter().ifPresent(id -> fields.add(new HeaderField(HeaderFields.LAST_EVENT_ID, id)));
        return new DirectCall(
                order.upstream().id(),
                order.upstream().address(),
                request.method(),
                request.uri(),
                fields,
                request.body(),
                request.id(),
                order.connectionUse());
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
    public boolean isLeaving(DirectHead head) {
        return head.values(names.leaving()).stream()
                .anyMatch(value -> value.trim().equals(LEAVES));
    }

    @Override
    public List<HeaderField> callerFields(DirectHead head) {
        return HeaderFields.passedOn(head.fields(), Set.of());
    }
}
