package org.copperspindle.gateway;

import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

import org.copperspindle.edition.EditionExchange;
import org.copperspindle.edition.EditionMember;
import org.copperspindle.edition.EditionMessage;
import org.copperspindle.edition.EditionResult;

/**
 * Takes questions of operators to this node's member of the control group if it leads, and says who leads if it does not. Network
 * thread only; answers come on it.
 */
final class GroupQuestions {

    private final EditionExchange editions;
    private final Executor network;

    GroupQuestions(EditionExchange editions, Executor network) {
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
        Optional<EditionMember> member = editions.member();
        if (member.isPresent() && editions.status().leads()) {
            question.put(member.get(), ended -> network.execute(() -> answer.accept(translate(ended))));
        } else {
            answer.accept(elsewhere());
        }
    }

    private ControlResponse translate(EditionResult result) {
        if (result instanceof EditionResult.Recorded recorded) {
            return new ControlResponse.Recorded(
                    recorded.held().version(), recorded.held().newestVersion().map(EditionMessage::text));
        }
        if (result instanceof EditionResult.Refused refused) {
            return new ControlResponse.Invalid(refused.reason());
        }
        if (result instanceof EditionResult.NotLeading) {
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
        void put(EditionMember member, Consumer<EditionResult> ended);
    }
}
