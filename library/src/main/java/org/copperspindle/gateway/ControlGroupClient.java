package org.copperspindle.gateway;

import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

import org.copperspindle.route.RouteTable;
import org.copperspindle.version.VersionExchange;
import org.copperspindle.version.VersionHolder;
import org.copperspindle.version.VersionMember;
import org.copperspindle.version.VersionMessage;
import org.copperspindle.version.VersionResult;

/**
 * Submits operators' requests to this node's member of the control group if it is the leader, and names the leader
 * otherwise. Runs on the network thread only, and callbacks run there as well.
 */
final class ControlGroupClient {

    private final VersionExchange versionExchange;
    private final VersionHolder holder;
    private final MovedStreamsRecorder movedStreams;
    private final Executor network;
    private final SubmissionLog log;

    ControlGroupClient(VersionExchange versionExchange, VersionHolder holder, Executor network, SubmissionLog log) {
        this.versionExchange = versionExchange;
        this.holder = holder;
        this.movedStreams = new MovedStreamsRecorder(holder);
        this.network = network;
        this.log = log;
    }

    /**
     * Submits a route table. One that is not newer than what the leader leases changes nothing: every node answers it,
     * whether it reaches the leader or not.
     *
     * @param table    the table
     * @param version  the table as it is recorded
     * @param callback receives the response
     */
    void put(RouteTable table, VersionMessage version, Consumer<ControlResponse> callback) {
        Consumer<ControlResponse> logged = log.follow(version.version(), version.text().length, callback);
        if (holder.leaderVersion() >= version.version()) {
            logged.accept(new ControlResponse.Recorded(holder.leaderVersion(), Optional.empty()));
            return;
        }
        submit(
                (member, outcome) -> movedStreams.record(member, table, outcome, () -> member.put(version, outcome)),
                logged);
    }

    /**
     * Submits a request.
     *
     * @param request  the request to the member
     * @param callback receives the response
     */
    void submit(MemberRequest request, Consumer<ControlResponse> callback) {
        Optional<VersionMember> member = versionExchange.member();
        if (member.isPresent() && versionExchange.status().leads()) {
            request.submit(member.get(), result -> network.execute(() -> callback.accept(toResponse(result))));
        } else {
            callback.accept(redirectToLeader());
        }
    }

    private ControlResponse toResponse(VersionResult result) {
        if (result instanceof VersionResult.Recorded recorded) {
            return new ControlResponse.Recorded(
                    recorded.held().version(), recorded.held().newestVersion().map(VersionMessage::text));
        }
        if (result instanceof VersionResult.Refused refused) {
            return new ControlResponse.Invalid(refused.reason());
        }
        if (result instanceof VersionResult.NoRoom noRoom) {
            return new ControlResponse.Unavailable(noRoom.reason());
        }
        if (result instanceof VersionResult.NotLeading) {
            return redirectToLeader();
        }
        return new ControlResponse.Unavailable("the leader changed meanwhile; the outcome is not known");
    }

    private ControlResponse redirectToLeader() {
        return versionExchange
                .leaderControl()
                .<ControlResponse>map(ControlResponse.Elsewhere::new)
                .orElseGet(() -> new ControlResponse.Unavailable("no leader is known"));
    }

    /** A request to the member that leads. */
    @FunctionalInterface
    interface MemberRequest {
        /**
         * Submits the request.
         *
         * @param member   the member
         * @param callback receives the result, on the member's own thread
         */
        void submit(VersionMember member, Consumer<VersionResult> callback);
    }
}
