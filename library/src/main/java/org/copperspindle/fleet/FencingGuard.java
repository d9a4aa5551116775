package org.copperspindle.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides at an agent which orders reach its engine. Pure; runs on the agent's decision ring.
 *
 * <p>Numbers are pairs of the leader's term and the order's index in the log. Both only grow, so an order that is not
 * above everything seen is one of a leader that was replaced, a late one, or a copy.
 */
public final class FencingGuard {

    private static final int MAX_REPORTS = 64;

    private final String upstreamId;
    private final long incarnation;
    private final Map<Long, OrderReportMessage> reports = new LinkedHashMap<>();
    private long highestTerm;
    private long highestSequence;
    private boolean confirmed;
    private boolean engineChecks;
    private Optional<OrderMessage> running = Optional.empty();

    /**
     * Creates the guard of an agent that has just started.
     *
     * @param upstreamId  its upstream
     * @param incarnation its life
     */
    public FencingGuard(String upstreamId, long incarnation) {
        this.upstreamId = upstreamId;
        this.incarnation = incarnation;
    }

    /**
     * Says whether the engine refuses old numbers itself.
     *
     * @param checks what the pool's settings say
     */
    public void engineChecks(boolean checks) {
        engineChecks = checks;
    }

    /**
     * Says whether the current number is known, so that orders can be passed.
     *
     * @return false after a start until the leader has answered
     */
    public boolean confirmed() {
        return confirmed;
    }

    /**
     * Takes the term of a leader that has just prolonged this agent's lease.
     *
     * @param term its term
     */
    public void raise(long term) {
        highestTerm = Math.max(highestTerm, term);
    }

    /**
     * Takes the current number.
     *
     * @param reply the leader's answer; one to another life changes nothing
     */
    public void confirm(FenceReplyMessage reply) {
        if (!reply.upstreamId().equals(upstreamId) || reply.incarnation() != incarnation) {
            return;
        }
        confirmed = true;
        raise(reply.term());
        highestSequence = Math.max(highestSequence, reply.sequence());
    }

    /**
     * Decides about an order. Passing one makes it the running one.
     *
     * @param order the order
     * @return what to do with it
     */
    public FencingVerdict check(OrderMessage order) {
        if (!order.upstreamId().equals(upstreamId) || order.agentIncarnation() != incarnation) {
            return new FencingVerdict.Refuse("other-incarnation");
        }
        if (running.filter(r -> r.sequence() == order.sequence()).isPresent()) {
            return new FencingVerdict.Running();
        }
        OrderReportMessage report = reports.get(order.sequence());
        if (report != null) {
            return new FencingVerdict.Repeat(report);
        }
        // A leader that was cut off may wake with orders in its queue. The lease that this agent holds from the next
        // leader, or an order of it, has raised the term; without this check an engine that ignores numbers would
        // load or drop what nobody wants any more.
        if (order.term() < highestTerm || order.sequence() <= highestSequence) {
            return new FencingVerdict.Refuse("old-number");
        }
        // From here on its number counts as seen, so that a copy of it can't be passed after a refusal either.
        highestTerm = order.term();
        highestSequence = order.sequence();
        if (!confirmed && !engineChecks) {
            // What the life before this one had seen is forgotten: any number could be an old one.
            return new FencingVerdict.Refuse("number-not-confirmed");
        }
        if (running.isPresent() && !sameWork(running.get(), order)) {
            return new FencingVerdict.Refuse("busy");
        }
        if (running.isPresent()) {
            // The next leader gives an order again that it knows to be open. To refuse it would tell that leader that
            // the work is not under way; so its report will be the one of the work that runs.
            running = Optional.of(order);
            return new FencingVerdict.Running();
        }
        running = Optional.of(order);
        return new FencingVerdict.Pass();
    }

    /**
     * Returns the order that is being carried out, under its newest number.
     *
     * @return the order
     */
    public Optional<OrderMessage> running() {
        return running;
    }

    /**
     * Keeps the report of an order, to answer copies with it.
     *
     * @param report the report
     */
    public void ended(OrderReportMessage report) {
        running = running.filter(r -> r.sequence() != report.sequence());
        reports.put(report.sequence(), report);
        if (reports.size() > MAX_REPORTS) {
            // Copies of a forgotten one are refused: its number is not above the highest seen.
            reports.remove(reports.keySet().iterator().next());
        }
    }

    private static boolean sameWork(OrderMessage one, OrderMessage other) {
        return one.kind() == other.kind() && one.subject().equals(other.subject());
    }
}
