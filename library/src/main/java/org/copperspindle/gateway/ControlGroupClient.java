package org.copperspindle.gateway;

import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

import org.copperspindle.version.VersionExchange;
import org.copperspindle.version.VersionMember;
import org.copperspindle.version.VersionMessage;
import org.copperspindle.version.VersionResult;

/**
 * Takes questions of operators to this node's member of the control group if it leads, and says who leads if it does not. Network
 * thread only; answers come on it.
 */
final class GroupQuestions {

    private final VersionExchange editions;
    private final Executor network;

    GroupQuestions(VersionExchange editions, Executor network) {
        this.editions = editions;
        this.network = network;
    }

    /**
     * Asks.
     *
     * @param question what the member is asked
     * @param answer   told how it ended
     */
    void ask(Question question, Consumer<ControlResponse> answer) {
        Optional<VersionMember> member = editions.member();
        if (member.isPresent() && editions.status().leads()) {
            question.put(member.get(), ended -> network.execute(() -> answer.accept(translate(ended))));
        } else {
            answer.accept(elsewhere());
        }
    }

    private ControlResponse translate(VersionResult result) {
        if (result instanceof VersionResult.Recorded recorded) {
            return new ControlResponse.Recorded(
                    recorded.held().version(), recorded.held().newestVersion().map(VersionMessage::text));
        }
        if (result instanceof VersionResult.Refused refused) {
            return new ControlResponse.Invalid(refused.reason());
        }
        if (result instanceof VersionResult.NotLeading) {
            return elsewhere();
        }
        return new ControlResponse.Unavailable("the leader changed meanwhile; the outcome is not known");
    }

    private ControlResponse elsewhere() {
        return editions.leaderControl()
                .<ControlResponse>map(ControlResponse.Elsewhere::new)
                .orElseGet(() -> new ControlResponse.Unavailable("no leader is known"));
    }

    /** A question to the member that leads. */
    @FunctionalInterface
    interface Question {
        /**
         * Puts it.
         *
         * @param member the member
         * @param ended  told the result, on the member's own thread
         */
        void put(VersionMember member, Consumer<VersionResult> ended);
    }
}
