package org.copperspindle.standby;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * The nodes that dispatch the pools at present: the standby of a pool while a takeover is valid, otherwise the
 * dispatcher that membership designates. Used on the network thread only.
 */
public final class ActingDispatchers {

    /**
     * Validity of a takeover after its last announcement: ten announcements, so that lost ones don't end it, and half
     * of the time after which a silent connection is closed, so that a lost standby costs less than a lost dispatcher.
     */
    static final long VALIDITY_NANOS = Duration.ofMillis(800).toNanos();

    private final DispatcherChoice choice;
    private final RolesCache roles;
    private final String self;
    private final LongSupplier clock;
    private final Map<String, Takeover> takeovers = new HashMap<>();
    private final Map<String, Takeover> latest = new HashMap<>();
    private final List<TakeoverListener> listeners = new ArrayList<>();
    private Predicate<String> isHeldAfterStall = pool -> false;
    private BiConsumer<String, String> forwarder = (node, pool) -> {};

    /**
     * Creates the view of a node that knows of no takeover.
     *
     * @param choice the nodes that membership designates
     * @param self   name of this node
     * @param clock  monotonic time in nanoseconds
     */
    public ActingDispatchers(DispatcherChoice choice, String self, LongSupplier clock) {
        this.choice = choice;
        this.roles = new RolesCache(choice);
        this.self = self;
        this.clock = clock;
    }

    /**
     * Adds a listener for changes.
     *
     * @param listener called in the order of subscription
     */
    public void subscribe(TakeoverListener listener) {
        listeners.add(listener);
    }

    /**
     * Returns the node that dispatches a pool at present.
     *
     * @param pool name of the pool
     * @return name of the node
     */
    public String of(String pool) {
        Takeover takeover = takeovers.get(pool);
        boolean isValid = takeover != null && isValid(takeover, roles.of(pool).dispatcher());
        return isValid ? takeover.standby() : choice.dispatcherNode(pool);
    }

    /**
     * Returns the other node that may account for results of a pool because of a takeover: the replaced dispatcher, or
     * after its return the standby.
     *
     * @param pool           name of the pool
     * @param retentionNanos time for which results are kept
     * @return name of the node; empty if the last takeover ended longer ago than results are kept
     */
    public Optional<String> counterpart(String pool, long retentionNanos) {
        Takeover takeover = latest.get(pool);
        if (takeover == null) {
            return Optional.empty();
        }
        if (clock.getAsLong() - takeover.validUntil() >= retentionNanos) {
            latest.remove(pool);
            return Optional.empty();
        }
        boolean isReplaced = of(pool).equals(takeover.standby());
        return Optional.of(isReplaced ? takeover.dispatcher() : takeover.standby());
    }

    /**
     * Returns whether this node must not start calls for groups of other nodes: its standby has taken over, or may
     * have done so while this node's process stood still.
     *
     * @param pool name of the pool
     * @return true while such groups must wait
     */
    public boolean isHeld(String pool) {
        return isTakenOver(pool) || isHeldAfterStall(pool);
    }

    /**
     * Returns whether the standby may have taken over while this node's process stood still. Checks for a stall first,
     * since responses of upstreams may be handled before any timer after one.
     *
     * @param pool name of the pool
     * @return true until an announcement of the takeover would have arrived
     */
    public boolean isHeldAfterStall(String pool) {
        return isHeldAfterStall.test(pool);
    }

    /**
     * Tells a node that has sent this node a group of a takeover against this node, if there is one.
     *
     * @param node name of the node
     * @param pool pool of the group
     */
    public void forwardTakeover(String node, String pool) {
        if (!node.equals(self) && isTakenOver(pool)) {
            forwarder.accept(node, pool);
        }
    }

    /** Returns the nodes that membership designates. */
    DispatcherChoice choice() {
        return choice;
    }

    /** Returns the roles in the pools as of the last change of membership. */
    RolesCache roles() {
        return roles;
    }

    /** Returns whether any takeover is known. */
    boolean hasTakeovers() {
        return !takeovers.isEmpty();
    }

    /** Sets whether groups of other nodes must wait in a pool because this process stood still a moment ago. */
    void holdAfterStallWhile(Predicate<String> isHeld) {
        isHeldAfterStall = isHeld;
    }

    /** Sets how another node (its name, then the pool) is told of a takeover against this node. */
    void forwardWith(BiConsumer<String, String> sender) {
        forwarder = sender;
    }

    /**
     * Returns whether another node dispatches a pool of this node.
     *
     * @param pool name of the pool
     * @return true while a takeover against this node is valid
     */
    public boolean isTakenOver(String pool) {
        Takeover takeover = takeovers.get(pool);
        return takeover != null && takeover.dispatcher().equals(self) && isValid(takeover, self);
    }

    /**
     * Applies an announced takeover, and moves the groups that wait at the dispatcher if it is new.
     *
     * @return number of this node's groups that were moved
     */
    int apply(String pool, Takeover takeover) {
        latest.put(pool, takeover);
        Takeover known = takeovers.put(pool, takeover);
        boolean isKnown = known != null && known.isSameAs(takeover) && !known.isExpired(clock.getAsLong());
        return isKnown ? 0 : move(pool, takeover.dispatcher(), takeover.standby());
    }

    /** Returns whether the last takeover of a pool, which may have ended, is by a node against a dispatcher's process. */
    boolean isLatest(String pool, String dispatcher, long incarnation, String standby) {
        Takeover takeover = latest.get(pool);
        return takeover != null
                && takeover.isSameAs(new Takeover(dispatcher, incarnation, standby, takeover.validUntil()));
    }

    /**
     * Keeps the takeovers until a time after a stall of this node: announcements that prolong them may have arrived
     * meanwhile and wait to be handled, and expiry would move groups needlessly.
     */
    void prolong(long until) {
        takeovers.replaceAll((pool, takeover) -> takeover.prolonged(until));
    }

    /** Ends a takeover. Groups that wait at the standby stay there. */
    void end(String pool) {
        if (takeovers.remove(pool) != null) {
            listeners.forEach(TakeoverListener::onChange);
        }
    }

    /**
     * Removes takeovers that are no longer valid. Groups at a standby that is silent or lost go back to the dispatcher;
     * if membership has designated other nodes, they stay.
     */
    void removeInvalid() {
        if (takeovers.isEmpty()) {
            return;
        }
        Map.copyOf(takeovers).forEach((pool, takeover) -> {
            String chosen = roles.of(pool).dispatcher();
            if (isValid(takeover, chosen)) {
                return;
            }
            takeovers.remove(pool);
            if (isOfCurrentProcess(takeover, chosen)) {
                move(pool, takeover.standby(), chosen);
            } else {
                listeners.forEach(TakeoverListener::onChange);
            }
        });
    }

    private int move(String pool, String from, String to) {
        int moved = 0;
        for (TakeoverListener listener : listeners) {
            moved += listener.moveGroups(pool, from, to);
        }
        listeners.forEach(TakeoverListener::onChange);
        return moved;
    }

    private boolean isValid(Takeover takeover, String chosen) {
        return !takeover.isExpired(clock.getAsLong())
                && isOfCurrentProcess(takeover, chosen)
                && (takeover.standby().equals(self) || roles.canReach(takeover.standby()));
    }

    private boolean isOfCurrentProcess(Takeover takeover, String chosen) {
        return takeover.dispatcher().equals(chosen)
                && (chosen.equals(self)
                        || choice.incarnation(chosen).orElse(takeover.incarnation()) == takeover.incarnation());
    }
}
