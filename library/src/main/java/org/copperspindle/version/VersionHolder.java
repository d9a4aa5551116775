package org.copperspindle.version;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.RouteTableReader;
import org.copperspindle.route.RouteTableResult;
import org.copperspindle.time.SuspensionDetector;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.RequestNumbers;

/**
 * Holds the configuration version that this node serves by, the evacuated failure domains, the software versions in use,
 * and the lease on all of them. A
 * node never returns to a lower version or revision. It serves only under a lease: without one, an isolated node
 * could keep accepting revoked keys or using evacuated upstreams, and a restarted node could start with outdated
 * data. Must be used on the network thread.
 */
public final class VersionHolder {

    private static final Logger LOGGER = LogManager.getLogger(VersionHolder.class);

    /** Interval of lease requests to the leader; several may be lost before a lease expires. */
    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(400);

    private static final int MAX_PENDING_REQUESTS = 64;

    private final TimerService timers;
    private final RouteTableReader reader;
    private final long leaseNanos;
    private final SuspensionDetector watch;
    private final Consumer<VersionLeaseRequestMessage> requestSender;
    private final List<Consumer<RouteTable>> listeners = new ArrayList<>();
    private final List<Consumer<EvacuationsMessage>> evacuationListeners = new ArrayList<>();
    private final List<Consumer<SoftwareInUseMessage>> softwareListeners = new ArrayList<>();
    private final LeaseConfirmations confirmations;
    private final Deque<PendingRequest> pendingRequests = new ArrayDeque<>();
    private final RequestNumbers sequences = new RequestNumbers();
    private Optional<VersionMessage> heldVersion = Optional.empty();
    private Optional<RouteTable> table = Optional.empty();
    private EvacuationsMessage evacuations = EvacuationsMessage.NONE;
    private SoftwareInUseMessage software = SoftwareInUseMessage.NONE;
    private boolean softwareKept;
    private boolean leased;
    private boolean everLeased;
    private long leaseUntil;
    private Optional<RequiredState> required = Optional.empty();
    private long leaderVersion;

    /**
     * Creates a holder without a version.
     *
     * @param timers        timers of the network thread
     * @param reader        parses the texts of versions
     * @param lease         duration of a lease; shorter than the time within which a revoked key must become invalid
     * @param watch         detects that this VM was suspended
     * @param requestSender sends a request to the leader, if one is known
     */
    public VersionHolder(
            TimerService timers,
            RouteTableReader reader,
            Duration lease,
            SuspensionDetector watch,
            Consumer<VersionLeaseRequestMessage> requestSender) {
        this.timers = timers;
        this.reader = reader;
        this.leaseNanos = lease.toNanos();
        this.watch = watch;
        this.requestSender = requestSender;
        this.confirmations = new LeaseConfirmations(timers, sequences::last, this::requestLease);
    }

    /**
     * Adds a listener.
     *
     * @param listener called with each table that this node starts to hold
     */
    public void subscribe(Consumer<RouteTable> listener) {
        listeners.add(listener);
    }

    /**
     * Adds a listener.
     *
     * @param listener called with each list of evacuated failure domains that this node starts to hold
     */
    public void subscribeEvacuations(Consumer<EvacuationsMessage> listener) {
        evacuationListeners.add(listener);
    }

    /**
     * Adds a listener.
     *
     * @param listener called with each list of software versions in use that this node starts to hold
     */
    public void subscribeSoftware(Consumer<SoftwareInUseMessage> listener) {
        softwareListeners.add(listener);
    }

    /** Starts requesting leases periodically. */
    public void start() {
        requestLease();
        timers.schedule(REQUEST_INTERVAL.toNanos(), this::start);
    }

    /** Requests a lease now, for example when a new leader is known. */
    public void requestLease() {
        checkSuspension();
        long sequence = sequences.next();
        pendingRequests.addLast(new PendingRequest(sequence, timers.nanoTime()));
        if (pendingRequests.size() > MAX_PENDING_REQUESTS) {
            pendingRequests.removeFirst();
        }
        requestSender.accept(
                new VersionLeaseRequestMessage(sequence, version(), evacuations.revision(), software.revision()));
    }

    /**
     * Confirms that this node holds everything that was committed before this call.
     *
     * @param listener receives true once the response to a later lease request has been taken; false if none was in 250 ms
     */
    public void confirm(Consumer<Boolean> listener) {
        confirmations.await(listener);
    }

    /**
     * Processes a response of the leader.
     *
     * @param response the response
     */
    public void receive(VersionLeaseResponseMessage response) {
        checkSuspension();
        Optional<PendingRequest> request = pendingRequests.stream()
                .filter(pending -> pending.sequence() == response.sequence())
                .findFirst();
        if (request.isEmpty() || response.version() == 0) {
            return;
        }
        pendingRequests.removeIf(pending -> pending.sequence() <= response.sequence());
        leaderVersion = Math.max(leaderVersion, response.version());
        // Missing data is already in transit on the same connection.
        required = Optional.of(new RequiredState(response, request.get().sentAt()));
        extendIfComplete();
    }

    /**
     * Processes an accepted version. A version that is not newer than the held one is ignored.
     *
     * @param received the version
     */
    public void receive(VersionMessage received) {
        if (received.version() <= version()) {
            return;
        }
        RouteTableResult result = reader.read(received.text());
        if (!(result instanceof RouteTableResult.Valid valid)) {
            // Texts are validated before they are recorded, so only another build can have accepted this one.
            LOGGER.error("event=version-unreadable version={} problem=\"{}\"", received.version(), result);
            return;
        }
        long before = version();
        heldVersion = Optional.of(received);
        table = Optional.of(valid.table());
        LOGGER.info("event=version-held version={} before={} leased={}", received.version(), before, isLeased());
        listeners.forEach(listener -> listener.accept(valid.table()));
        extendIfComplete();
    }

    /**
     * Processes a list of evacuated failure domains. A list that is not newer than the held one is ignored.
     *
     * @param received the list
     */
    public void receive(EvacuationsMessage received) {
        if (received.revision() <= evacuations.revision()) {
            return;
        }
        LOGGER.info(
                "event=evacuations-held revision={} before={} evacuated={} leased={}",
                received.revision(),
                evacuations.revision(),
                received.failureDomains(),
                isLeased());
        evacuations = received;
        evacuationListeners.forEach(listener -> listener.accept(received));
        extendIfComplete();
    }

    /**
     * Processes a list of software versions in use. A list that is not newer than the held one is ignored.
     *
     * @param received the list
     */
    public void receive(SoftwareInUseMessage received) {
        if (received.revision() <= software.revision()) {
            return;
        }
        LOGGER.info(
                "event=software-held revision={} before={} versions={} leased={}",
                received.revision(),
                software.revision(),
                received.versionsByPool(),
                isLeased());
        software = received;
        softwareKept = true;
        softwareListeners.forEach(listener -> listener.accept(received));
        extendIfComplete();
    }

    /**
     * Returns the version held.
     *
     * @return 0 if none
     */
    public long version() {
        return heldVersion.map(VersionMessage::version).orElse(0L);
    }

    /**
     * Returns the newest version that a leader has named in a response to a lease request. A member may hold a newer one,
     * which is committed, but which a leader with a slow disk does not lease yet.
     *
     * @return 0 if none
     */
    public long leaderVersion() {
        return leaderVersion;
    }

    /**
     * Returns the evacuated failure domains known to this node, with or without a lease.
     *
     * @return the newest list held
     */
    public EvacuationsMessage evacuations() {
        return evacuations;
    }

    /**
     * Returns the software versions in use known to this node, with or without a lease.
     *
     * @return the newest list held
     */
    public SoftwareInUseMessage software() {
        return software;
    }

    /**
     * Returns whether the leader keeps the list of software versions in use.
     *
     * @return false before the first version is recorded, and while the leader is of a build without the list
     */
    public boolean isSoftwareKept() {
        return softwareKept;
    }

    /**
     * Returns the held table, whether in force or not.
     *
     * @return the table
     */
    public Optional<RouteTable> heldTable() {
        return table;
    }

    /**
     * Returns the table that this node serves by.
     *
     * @return empty without a lease
     */
    public Optional<RouteTable> inForce() {
        checkSuspension();
        return isLeased() ? table : Optional.empty();
    }

    /**
     * Returns the duration of a lease.
     *
     * @return how long this node serves by a state without a confirmation of the leader
     */
    public Duration lease() {
        return Duration.ofNanos(leaseNanos);
    }

    /**
     * Returns whether this node has had a lease since it started.
     *
     * @return false while it waits for its first lease
     */
    public boolean wasEverLeased() {
        return everLeased;
    }

    private boolean isLeased() {
        boolean before = leased;
        leased = leased && timers.nanoTime() - leaseUntil < 0;
        if (before && !leased) {
            LOGGER.warn("event=lease-lost version={} reason=expired", version());
        }
        return leased;
    }

    private void checkSuspension() {
        if (!watch.detectSuspension()) {
            return;
        }
        pendingRequests.clear();
        required = Optional.empty();
        if (leased) {
            leased = false;
            LOGGER.warn("event=lease-lost version={} reason=suspended", version());
        }
    }

    private void extendIfComplete() {
        Optional<RequiredState> complete = required.filter(state -> isHeld(state.response()));
        complete.ifPresent(state -> {
            required = Optional.empty();
            softwareKept = state.response().software() > 0;
            extend(state.sentAt());
            confirmations.onTaken(state.response().sequence());
        });
    }

    private boolean isHeld(VersionLeaseResponseMessage named) {
        return named.version() <= version()
                && named.revision() <= evacuations.revision()
                && named.software() <= software.revision();
    }

    private void extend(long sentAt) {
        long until = sentAt + leaseNanos;
        if (timers.nanoTime() - until >= 0) {
            return;
        }
        if (!isLeased()) {
            LOGGER.info("event=lease-held version={}", version());
            leaseUntil = until;
            leased = true;
            everLeased = true;
        } else if (until - leaseUntil > 0) {
            leaseUntil = until;
        }
    }

    private record PendingRequest(long sequence, long sentAt) {}

    /** Newest state according to the leader, and when the request was sent. */
    private record RequiredState(VersionLeaseResponseMessage response, long sentAt) {}
}
