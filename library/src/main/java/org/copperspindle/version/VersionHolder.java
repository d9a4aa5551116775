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
import org.copperspindle.time.SuspensionWatch;
import org.copperspindle.time.TimerService;

/**
 * The version that this node serves by, the evacuated failure domains, and its lease on both. A node never goes back to a
 * lower version or revision. It serves only under a lease: one that was cut off could else go on running requests under
 * keys that were taken away or at upstreams that are evacuated, and one that was restarted could begin with what is old.
 * Runs on the network thread.
 */
public final class VersionHolder {

    private static final Logger LOGGER = LogManager.getLogger(VersionHolder.class);

    /** Interval of questions to the leader; several may be lost before a lease ends. */
    private static final Duration ASK_INTERVAL = Duration.ofMillis(400);

    private static final int MAX_OPEN_QUESTIONS = 32;

    private final TimerService timers;
    private final RouteTableReader reader;
    private final long leaseNanos;
    private final SuspensionWatch watch;
    private final Consumer<VersionLeaseRequestMessage> leader;
    private final List<Consumer<RouteTable>> listeners = new ArrayList<>();
    private final List<Consumer<EvacuationsMessage>> evacuationListeners = new ArrayList<>();
    private final Deque<Question> questions = new ArrayDeque<>();
    private Optional<VersionMessage> edition = Optional.empty();
    private Optional<RouteTable> table = Optional.empty();
    private EvacuationsMessage evacuations = EvacuationsMessage.NONE;
    private boolean leased;
    private boolean everLeased;
    private long leaseUntil;
    private Optional<Wanted> wanted = Optional.empty();
    private long sequence;

    /**
     * Creates a holder of nothing.
     *
     * @param timers time on the network thread
     * @param reader reads texts of versions
     * @param lease  how long a lease lasts; shorter than the time in which a key that is taken away must be dead
     * @param watch  notices that this VM stood still
     * @param leader sends a question to the leader, if one is known
     */
    public VersionHolder(
            TimerService timers,
            RouteTableReader reader,
            Duration lease,
            SuspensionWatch watch,
            Consumer<VersionLeaseRequestMessage> leader) {
        this.timers = timers;
        this.reader = reader;
        this.leaseNanos = lease.toNanos();
        this.watch = watch;
        this.leader = leader;
    }

    /**
     * Adds a listener.
     *
     * @param listener told of each table that this node begins to hold
     */
    public void subscribe(Consumer<RouteTable> listener) {
        listeners.add(listener);
    }

    /**
     * Adds a listener.
     *
     * @param listener told of each list of evacuated failure domains that this node begins to hold
     */
    public void subscribeEvacuations(Consumer<EvacuationsMessage> listener) {
        evacuationListeners.add(listener);
    }

    /** Begins to ask the leader. */
    public void start() {
        requestLease();
        timers.schedule(ASK_INTERVAL.toNanos(), this::start);
    }

    /** Asks the leader now, for example when a new one is known. */
    public void requestLease() {
        checkSuspension();
        sequence++;
        questions.addLast(new Question(sequence, timers.nanoTime()));
        if (questions.size() > MAX_OPEN_QUESTIONS) {
            questions.removeFirst();
        }
        leader.accept(new VersionLeaseRequestMessage(sequence, version(), evacuations.revision()));
    }

    /**
     * Takes the leader's answer.
     *
     * @param answer the answer
     */
    public void receive(VersionLeaseResponseMessage answer) {
        checkSuspension();
        Optional<Question> asked = questions.stream()
                .filter(q -> q.sequence() == answer.sequence())
                .findFirst();
        if (asked.isEmpty() || answer.version() == 0) {
            return;
        }
        questions.removeIf(q -> q.sequence() <= answer.sequence());
        // What is lacking is under way on the same connection.
        wanted = Optional.of(
                new Wanted(answer.version(), answer.revision(), asked.get().sentAt()));
        extendIfComplete();
    }

    /**
     * Takes a version that was accepted. A lower one than that held is dropped.
     *
     * @param news the version
     */
    public void receive(VersionMessage news) {
        if (news.version() <= version()) {
            return;
        }
        RouteTableResult result = reader.read(news.text());
        if (!(result instanceof RouteTableResult.Valid valid)) {
            // Texts are checked before they are recorded: only another build can have let this one pass.
            LOGGER.error("event=version-unreadable version={} problem=\"{}\"", news.version(), result);
            return;
        }
        long before = version();
        edition = Optional.of(news);
        table = Optional.of(valid.table());
        LOGGER.info("event=version-held version={} before={} leased={}", news.version(), before, isLeased());
        listeners.forEach(listener -> listener.accept(valid.table()));
        extendIfComplete();
    }

    /**
     * Takes a list of evacuated failure domains. One that is not newer than that held is dropped.
     *
     * @param news the list
     */
    public void receive(EvacuationsMessage news) {
        if (news.revision() <= evacuations.revision()) {
            return;
        }
        LOGGER.info(
                "event=evacuations-held revision={} before={} evacuated={} leased={}",
                news.revision(),
                evacuations.revision(),
                news.failureDomains(),
                isLeased());
        evacuations = news;
        evacuationListeners.forEach(listener -> listener.accept(news));
        extendIfComplete();
    }

    /**
     * Returns the version held.
     *
     * @return 0 if none
     */
    public long version() {
        return edition.map(VersionMessage::version).orElse(0L);
    }

    /**
     * Returns the evacuated failure domains as this node knows them, under a lease or not.
     *
     * @return the newest list held
     */
    public EvacuationsMessage evacuations() {
        return evacuations;
    }

    /**
     * Returns the table held, in force or not.
     *
     * @return the table
     */
    public Optional<RouteTable> heldTable() {
        return table;
    }

    /**
     * Returns the table to serve by.
     *
     * @return empty without a lease
     */
    public Optional<RouteTable> inForce() {
        checkSuspension();
        return isLeased() ? table : Optional.empty();
    }

    /**
     * Says whether this node has had a lease since it started.
     *
     * @return false while it waits for its first
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
        if (!watch.stoodStill()) {
            return;
        }
        questions.clear();
        wanted = Optional.empty();
        if (leased) {
            leased = false;
            LOGGER.warn("event=lease-lost version={} reason=suspended", version());
        }
    }

    private void extendIfComplete() {
        Optional<Wanted> complete =
                wanted.filter(news -> news.version() <= version() && news.revision() <= evacuations.revision());
        complete.ifPresent(news -> {
            wanted = Optional.empty();
            extend(news.sentAt());
        });
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

    private record Question(long sequence, long sentAt) {}

    /** What the leader said is newest, in answer to a question of a certain instant. */
    private record Wanted(long version, long revision, long sentAt) {}
}
