package org.copperspindle.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.batch.BatchService;
import org.copperspindle.batch.PoolLoad;
import org.copperspindle.batch.PoolLoadMessage;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.mesh.MeshListener;
import org.copperspindle.mesh.MeshNode;
import org.copperspindle.mesh.MeshRelay;
import org.copperspindle.route.RouteTable;
import org.copperspindle.time.DeferredTask;
import org.copperspindle.time.TimerService;
import org.copperspindle.time.TimerSubscription;
import org.copperspindle.wire.WireMessage;

/**
 * Asks the controllers of the pool groups when the stages of this node's requests may start, and runs the controllers
 * of the groups that this node is responsible for. The controller of a group is the node that dispatches its first
 * pool, so all nodes agree on it without further messages. A node that gets no response decides its requests alone.
 *
 * <p>Runs on the network thread. The caller subscribes it to the mesh and to the relay, after the batch service: the
 * decisions use the loads that the batch service reads from the same messages.
 */
public final class FleetStageStarts implements StageStarts, MeshListener {

    private static final Logger LOGGER = LogManager.getLogger(FleetStageStarts.class);

    /** Longest wait for a controller from which no message comes: its pauses and link failures must not cost more. */
    private static final long SILENCE_NANOS = Duration.ofMillis(300).toNanos();

    /**
     * Interval for sending a waiting start request again. A controller that no longer has it, after a change that this
     * node did not see, takes it again or leaves it unanswered.
     */
    private static final long RENEWAL_NANOS = Duration.ofSeconds(1).toNanos();

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final MeshRelay relay;
    private final String self;
    private final TimerService timers;
    private final Function<String, String> dispatcherNode;
    private final Supplier<Optional<RouteTable>> tables;
    private final StartPolicy policy;
    private final LogRateLimiter log;
    private final GroupControllers controllers;
    private final StartCounters counters = new StartCounters();
    private final ControllerContacts contacts = new ControllerContacts();
    private final Map<Long, PendingStart> pendingStarts = new LinkedHashMap<>();
    private final Map<String, String> controllerByGroup = new HashMap<>();
    private final Map<String, Long> announcedShortAt = new HashMap<>();
    private final Map<String, Long> lostIncarnations = new HashMap<>();
    private final DeferredTask promptUpdate;
    private Optional<CoordinatedPools> pools = Optional.empty();

    /**
     * Creates the service.
     *
     * @param relay          sends to other nodes, also through a third node
     * @param timers         timers of the network thread
     * @param dispatcherNode returns the node that dispatches a pool at present
     * @param tables         supplies the current route table
     * @param loads          returns the load of a pool by its name
     * @param policy         the decisions
     * @param log            limits the rate of log lines
     */
    public FleetStageStarts(
            MeshRelay relay,
            TimerService timers,
            Function<String, String> dispatcherNode,
            Supplier<Optional<RouteTable>> tables,
            Function<String, PoolLoad> loads,
            StartPolicy policy,
            LogRateLimiter log) {
        this.relay = relay;
        this.self = relay.mesh().self();
        this.timers = timers;
        this.dispatcherNode = dispatcherNode;
        this.tables = tables;
        this.policy = policy;
        this.log = log;
        this.promptUpdate = new DeferredTask(timers, this::update);
        this.controllers = new GroupControllers(
                loads,
                group -> self.equals(controllerByGroup.get(group)),
                policy.shortages(),
                () -> new StartController(policy, timers, new MeshResponder(), counters, log));
    }

    /** Starts the regular evaluation of the pools and of the waiting requests, at the pace of the load messages. */
    public void start() {
        update();
        List.copyOf(pendingStarts.values()).forEach(this::renew);
        timers.schedule(BatchService.LOAD_INTERVAL_NANOS, this::start);
    }

    /** Adopts a change of the dispatcher nodes, soon after this call. */
    public void updateControllers() {
        promptUpdate.schedule(0);
    }

    /**
     * Returns the pools of the groups that this node, as their controller, finds short of capacity.
     *
     * @return names of pools
     */
    public Set<String> shortPools() {
        return pools.map(controllers::shortPools).orElse(Set.of());
    }

    /**
     * Returns whether the group of a pool is short of capacity, by this node as its controller or by the loads that
     * the dispatchers of its pools announce.
     *
     * @param pool name of the pool
     * @return false also for pools of no coordinated group
     */
    public boolean isPoolShort(String pool) {
        if (announcedShortAt.isEmpty() && !controllers.isAnyShort()) {
            return false;
        }
        return pools.flatMap(p -> p.groupOf(pool)).filter(this::isShort).isPresent();
    }

    /**
     * Returns the counts for the metrics.
     *
     * @return counts since this node started
     */
    public StartCounters counters() {
        return counters;
    }

    /**
     * Returns how many requests wait at the controllers of this node.
     *
     * @return a count
     */
    public int waitingCount() {
        return controllers.waitingCount();
    }

    /**
     * Returns how many requests of one rank wait at the controllers of this node.
     *
     * @param rank scheduling rank
     * @return a count
     */
    public int waitingCount(int rank) {
        return controllers.waitingCount(rank);
    }

    /**
     * Returns how many requests of this node wait for a decision of a controller.
     *
     * @return a count
     */
    public int pendingCount() {
        return pendingStarts.size();
    }

    @Override
    public boolean isShort(StagedRequest request) {
        if (announcedShortAt.isEmpty() && !controllers.isAnyShort()) {
            return false;
        }
        Optional<String> group = pools.flatMap(p -> p.groupOf(request));
        if (group.isEmpty() || !isShort(group.get())) {
            return false;
        }
        long now = timers.nanoTime();
        String controller = controllerByGroup.get(group.get());
        return self.equals(controller)
                || contacts.mayAsk(controller, request.route().name(), now)
                        && StartRequestMessage.of(0, request, now).isValid();
    }

    @Override
    public void request(StagedRequest request, long id, Listener listener) {
        Optional<String> group = pools.flatMap(p -> p.groupOf(request));
        if (group.isEmpty()) {
            listener.decideLocally();
            return;
        }
        PendingStart pending = new PendingStart(id, request, group.get(), listener);
        pendingStarts.put(id, pending);
        ask(pending);
    }

    @Override
    public void cancel(long id) {
        PendingStart pending = pendingStarts.get(id);
        if (pending != null) {
            close(pending);
            cancelAtController(pending);
        }
    }

    @Override
    public void onNodeUp(MeshNode node) {
        Long lost = lostIncarnations.remove(node.address());
        if (lost != null && lost != node.incarnation()) {
            controllers.forget(node.address());
        }
    }

    @Override
    public void onNodeDown(MeshNode node) {
        lostIncarnations.put(node.address(), node.incarnation());
        promptUpdate.schedule(0);
    }

    @Override
    public void onConnectionLost(MeshNode node) {
        List.copyOf(pendingStarts.values()).stream()
                .filter(pending -> pending.controller.equals(node.address()))
                .forEach(this::ask);
    }

    @Override
    public void onMessage(MeshNode node, WireMessage message) {
        if (message instanceof PoolLoadMessage load) {
            onLoad(node.address(), load);
        } else if (message instanceof StartRequestMessage request) {
            onRequest(node.address(), request);
        } else if (message instanceof StartResponseMessage response) {
            onResponse(node.address(), response);
        } else if (message instanceof StartCancelMessage cancel) {
            controllers.cancel(node.address(), cancel.id());
        }
    }

    private void onLoad(String node, PoolLoadMessage load) {
        Optional<String> group = pools.flatMap(p -> p.groupOf(load.pool()));
        if (group.isEmpty() || !load.isValid()) {
            return;
        }
        long now = timers.nanoTime();
        contacts.onLoad(node, now);
        if (load.isShort()) {
            announcedShortAt.put(load.pool(), now);
        } else {
            announcedShortAt.remove(load.pool());
        }
        controllers.loadChanged(group.get());
    }

    private void onRequest(String node, StartRequestMessage message) {
        Optional<RemoteRequest> request = pools.flatMap(p -> RemoteRequest.of(message, p, timers.nanoTime()));
        Optional<String> group = request.flatMap(r -> pools.flatMap(p -> p.groupOf(r)));
        if (group.isEmpty()) {
            dropped(node, "start-request");
            return;
        }
        // A request for a group of another controller stays unanswered; its node sees the change soon.
        controllers
                .find(group.get())
                .filter(c -> !c.add(toStart(node, message.id(), request.get())))
                .ifPresent(full -> dropped(node, "start-request-beyond-maximum"));
    }

    private void onResponse(String node, StartResponseMessage response) {
        if (!response.isValid()) {
            dropped(node, "start-response");
            return;
        }
        PendingStart pending = pendingStarts.get(response.id());
        if (pending == null || !pending.controller.equals(node)) {
            counters.recordIgnoredResponse();
            if (response.verdict() == StartResponseMessage.QUEUED) {
                // A repeated start request arrived after the decision or the cancellation, and waits there again.
                relay.send(node, new StartCancelMessage(response.id()));
            }
            return;
        }
        contacts.onResponse(node, pending.request.route().name(), timers.nanoTime());
        if (response.verdict() == StartResponseMessage.QUEUED) {
            pending.acknowledged = true;
            return;
        }
        close(pending);
        if (response.verdict() == StartResponseMessage.START) {
            pending.listener.start();
        } else {
            pending.listener.refuse(response.retryAfterMillis() * NANOS_PER_MILLI);
        }
    }

    private void dropped(String node, String kind) {
        counters.recordDroppedMessage();
        if (log.allowsFailed(timers.nanoTime())) {
            LOGGER.warn("event=admission-message-dropped node={} kind={}", node, kind);
        }
    }

    /** Adopts the current table and controllers, and sends waiting requests to the controllers that have changed. */
    private void update() {
        Optional<RouteTable> table = tables.get();
        if (pools.map(CoordinatedPools::table)
                .filter(t -> t == table.orElse(null))
                .isEmpty()) {
            pools = table.map(t -> new CoordinatedPools(t, policy));
        }
        controllerByGroup.clear();
        pools.ifPresent(current -> {
            current.groups().forEach(group -> controllerByGroup.put(group, dispatcherNode.apply(group)));
            announcedShortAt.keySet().removeIf(pool -> current.groupOf(pool).isEmpty());
            controllers.update(current, timers.nanoTime());
        });
        forgetLostNodes();
        for (PendingStart pending : List.copyOf(pendingStarts.values())) {
            String controller = controllerByGroup.get(pending.group);
            if (pendingStarts.get(pending.id) != pending || pending.controller.equals(controller)) {
                continue;
            }
            cancelAtController(pending);
            if (controller == null) {
                // The new table does not coordinate the request.
                close(pending);
                pending.listener.decideLocally();
            } else {
                ask(pending);
            }
        }
    }

    /** Drops the requests of lost nodes once they can't be reached through other nodes either. */
    private void forgetLostNodes() {
        for (String node : Set.copyOf(lostIncarnations.keySet())) {
            if (!relay.canReach(node)) {
                lostIncarnations.remove(node);
                controllers.forget(node);
                contacts.forget(node);
            }
        }
    }

    private boolean isShort(String group) {
        if (controllers.isShort(group)) {
            return true;
        }
        long now = timers.nanoTime();
        return announcedShortAt.entrySet().stream()
                .anyMatch(entry -> now - entry.getValue() < PoolLoadMessage.MAX_AGE_NANOS
                        && pools.flatMap(p -> p.groupOf(entry.getKey()))
                                .filter(group::equals)
                                .isPresent());
    }

    /**
     * Sends a start request to the present controller of its group. Sending it to the same controller again does not
     * extend the wait.
     */
    private void ask(PendingStart pending) {
        String controller = controllerByGroup.get(pending.group);
        long now = timers.nanoTime();
        pending.askedAt = pending.controller.equals(controller) ? silentSince(pending) : now;
        pending.controller = controller;
        pending.acknowledged = false;
        pending.silence.cancel();
        if (pending.controller.equals(self)) {
            boolean accepted = controllers
                    .find(pending.group)
                    .filter(c -> c.add(toStart(self, pending.id, pending.request)))
                    .isPresent();
            if (!accepted) {
                unanswered(pending);
            }
            return;
        }
        long left = pending.askedAt + SILENCE_NANOS - now;
        pending.silence = timers.schedule(Math.max(0, left), () -> checkSilence(pending));
        send(pending);
    }

    private void send(PendingStart pending) {
        relay.send(pending.controller, StartRequestMessage.of(pending.id, pending.request, timers.nanoTime()));
    }

    /** Sends a start request again if it may have been lost, or if the controller may have lost it since. */
    private void renew(PendingStart pending) {
        if (pendingStarts.get(pending.id) != pending || pending.controller.equals(self)) {
            return;
        }
        long age = timers.nanoTime() - pending.askedAt;
        if (pending.acknowledged && age >= RENEWAL_NANOS) {
            ask(pending);
        } else if (!pending.acknowledged && age >= BatchService.LOAD_INTERVAL_NANOS) {
            send(pending);
        }
    }

    /** Returns the time from which the wait for the controller counts, monotonic time in nanoseconds. */
    private long silentSince(PendingStart pending) {
        return pending.acknowledged ? contacts.lastHeardAt(pending.controller, pending.askedAt) : pending.askedAt;
    }

    private void checkSilence(PendingStart pending) {
        long now = timers.nanoTime();
        long since = silentSince(pending);
        long left = since + SILENCE_NANOS - now;
        if (left > 0) {
            pending.silence = timers.schedule(left, () -> checkSilence(pending));
            return;
        }
        contacts.onUnanswered(pending.controller, pending.request.route().name(), since, now);
        unanswered(pending);
    }

    private void unanswered(PendingStart pending) {
        counters.recordUnanswered();
        if (log.allowsFailed(timers.nanoTime())) {
            LOGGER.info(
                    "event=admission-unanswered start_id={} controller={} acknowledged={}",
                    pending.id,
                    pending.controller,
                    pending.acknowledged);
        }
        close(pending);
        cancelAtController(pending);
        pending.listener.decideLocally();
    }

    /** Ends a pending start request, so that no further response counts. */
    private void close(PendingStart pending) {
        pendingStarts.remove(pending.id);
        pending.silence.cancel();
    }

    private void cancelAtController(PendingStart pending) {
        if (pending.controller.equals(self)) {
            controllers.cancel(self, pending.id);
        } else {
            relay.send(pending.controller, new StartCancelMessage(pending.id));
        }
    }

    private StartRequest toStart(String node, long id, StagedRequest request) {
        double weight = pools.map(p -> p.weight(request.accountName())).orElseThrow();
        return new StartRequest(node, id, request, weight);
    }

    /** Sends the decisions of this node's controllers. */
    private final class MeshResponder implements StartController.Responder {
        @Override
        public void queued(String node, long id) {
            if (!node.equals(self)) {
                relay.send(node, new StartResponseMessage(id, StartResponseMessage.QUEUED, 0));
            }
        }

        @Override
        public void decided(StartDecision decision) {
            StartResponseMessage response = StartResponseMessage.of(decision);
            if (decision.request().node().equals(self)) {
                onResponse(self, response);
            } else {
                relay.send(decision.request().node(), response);
            }
        }
    }

    /** A start request without a decision. */
    private static final class PendingStart {
        private final long id;
        private final StagedRequest request;
        private final String group;
        private final Listener listener;
        private String controller = "";
        private long askedAt;
        private boolean acknowledged;
        private TimerSubscription silence = () -> {};

        private PendingStart(long id, StagedRequest request, String group, Listener listener) {
            this.id = id;
            this.request = request;
            this.group = group;
            this.listener = listener;
        }
    }
}
