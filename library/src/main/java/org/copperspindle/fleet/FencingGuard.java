package org.copperspindle.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides at an agent which orders are forwarded to its engine. Performs no I/O; runs on the agent's decision ring.
 *
 * <p>A fencing number consists of the leader's term and the order's index in the log. Both only increase, so an order
 * that does not exceed everything seen so far comes from a replaced leader, is delayed, or is a duplicate.
 */
public final class FencingGuard {

    private static final int MAX_REPORTS = 64;

    private final String upstreamId;
    private final long incarnation;
    private final Map<Long, OrderReportMessage> reports = new LinkedHashMap<>();
    private long highestTerm;
    private long highestSequence;
    private boolean confirmed;
    private boolean engineChecksFencing;
    private Optional<OrderMessage> running = Optional.empty();

    /**
     * Creates the guard of an agent that has just started.
     *
     * @param upstreamId  upstream of the agent
     * @param incarnation incarnation of the agent
     */
    public FencingGuard(String upstreamId, long incarnation) {
        this.upstreamId = upstreamId;
        this.incarnation = incarnation;
    }

    /**
     * Sets whether the engine itself rejects outdated fencing numbers.
     *
     * @param checks value from the pool's settings
     */
    public void engineChecksFencing(boolean checks) {
        engineChecksFencing = checks;
    }

    /**
     * Returns whether the current fencing number is known, so that orders can be forwarded.
     *
     * @return false after a start until the leader has replied
     */
    public boolean confirmed() {
        return confirmed;
    }

    /**
     * Records the term of a leader that has just renewed this agent's lease.
     *
     * @param term term of the leader
     */
    public void raiseTerm(long term) {
        highestTerm = Math.max(highestTerm, term);
    }

    /**
     * Records the current fencing number.
     *
     * @param reply the leader's reply; a reply to another incarnation is ignored
     */
    public void confirm(FenceReplyMessage reply) {
        if (!reply.upstreamId().equals(upstreamId) || reply.incarnation() != incarnation) {
            return;
        }
        confirmed = true;
        raiseTerm(reply.term());
        highestSequence = Math.max(highestSequence, reply.sequence());
    }

    /**
     * Decides whether an order is forwarded. A forwarded order becomes the running one.
     *
     * @param order the order
     * @return how to handle it
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
        // A leader that was isolated may resume with orders in its queue. By then the lease that this agent holds from
        // the next leader, or an order from that leader, has raised the term. Without this check an engine that ignores
        // fencing numbers would load or unload models by outdated orders.
        if (order.term() < highestTerm || order.sequence() <= highestSequence) {
            return new FencingVerdict.Refuse("old-number");
        }
        // Records the number before the checks below, so that a duplicate of a refused order can't be forwarded later.
        highestTerm = order.term();
        highestSequence = order.sequence();
        if (!confirmed && !engineChecksFencing) {
            // The numbers that the previous incarnation saw are lost, so any number could be outdated.
            return new FencingVerdict.Refuse("number-not-confirmed");
        }
        if (running.isPresent() && !isSameOperation(running.get(), order)) {
            return new FencingVerdict.Refuse("busy");
        }
        if (running.isPresent()) {
            // A new leader reissues the orders that it knows to be open. Refusing such an order would tell the leader
            // that the operation is not in progress. The reissued order takes the place of the running one instead, and
            // is the one that gets reported.
            running = Optional.of(order);
            return new FencingVerdict.Running();
        }
        running = Optional.of(order);
        return new FencingVerdict.Pass();
    }

    /**
     * Returns the order in progress, under its newest fencing number.
     *
     * @return the order, empty if none is in progress
     */
    public Optional<OrderMessage> running() {
        return running;
    }

    /**
     * Records the report of a completed order, with which duplicates are answered.
     *
     * @param report the report
     */
    public void recordReport(OrderReportMessage report) {
        running = running.filter(r -> r.sequence() != report.sequence());
        reports.put(report.sequence(), report);
        if (reports.size() > MAX_REPORTS) {
            // Duplicates of an order without a retained report are refused, since its number does not exceed the
            // highest seen.
            reports.remove(reports.keySet().iterator().next());
        }
    }

    private static boolean isSameOperation(OrderMessage one, OrderMessage other) {
        return one.kind() == other.kind() && one.subject().equals(other.subject());
    }
}
