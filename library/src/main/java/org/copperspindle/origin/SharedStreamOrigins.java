package org.copperspindle.origin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.mesh.MajorityWatch;
import org.copperspindle.mesh.MeshListener;
import org.copperspindle.mesh.MeshNode;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.RequestNumbers;
import org.copperspindle.wire.WireMessage;

/**
 * Origins of streams, shared between nodes. A node keeps those of the streams that it relays; while more than one
 * version is known in a pool, it also stores each at other nodes and on its own disk when it sends the request, which is
 * long before the first event. When a second version becomes known, it stores those that it kept until then. A node at
 * which a stream is taken up asks the nodes that would hold the record.
 */
public final class SharedStreamOrigins implements StreamOrigins, MeshListener {

    /** Other nodes at which a record is stored at least. */
    static final int COPIES = 2;

    /** Nodes that are asked for a record at least. */
    static final int ASKED = 4;

    /** Nodes that are asked besides the holders, since nodes may have come or gone in between. */
    private static final int ASKED_BESIDES = 2;

    /** How long an answer is awaited: several round trips on a link with packet loss, little of a caller's time. */
    private static final long QUERY_TIMEOUT_NANOS = Duration.ofMillis(250).toNanos();

    /** After a start: delay before nodes are asked again while some are not connected yet. */
    private static final long REPEAT_NANOS = Duration.ofMillis(200).toNanos();

    private static final long SWEEP_NANOS = Duration.ofSeconds(5).toNanos();

    /** Largest number of records in one message. */
    private static final int MAX_BATCH = 200;

    private static final Logger LOGGER = LogManager.getLogger(SharedStreamOrigins.class);

    private final NodeMesh mesh;
    private final MajorityWatch majority;
    private final TimerService timers;
    private final ObservedSoftware observed;
    private final SoftwareInUse software;
    private final LongSupplier lifetimeNanos;
    private final OriginTable table = new OriginTable();
    private final Map<Long, OriginQuery> queries = new LinkedHashMap<>();
    private final RequestNumbers queryNumbers = new RequestNumbers();
    private final Set<String> mixedPools = new HashSet<>();
    private final OriginCounters counters = new OriginCounters();
    private final RepeatedQueries repeated;
    private OriginStore store = new DisklessOriginStore();
    private int copies = COPIES;

    /**
     * Creates the origins. The caller subscribes them to the mesh and to the directory.
     *
     * @param mesh          the nodes
     * @param majority      whether this node reaches most of them
     * @param timers        timers of the network thread
     * @param observed      the versions that this node has heard of
     * @param software      the versions that may have begun streams
     * @param lifetimeNanos supplies the time after which no caller takes a stream up, in nanoseconds from its start
     */
    public SharedStreamOrigins(
            NodeMesh mesh,
            MajorityWatch majority,
            TimerService timers,
            ObservedSoftware observed,
            SoftwareInUse software,
            LongSupplier lifetimeNanos) {
        this.mesh = mesh;
        this.majority = majority;
        this.timers = timers;
        this.observed = observed;
        this.software = software;
        this.lifetimeNanos = lifetimeNanos;
        this.repeated = new RepeatedQueries(timers);
    }

    /**
     * Sets where records are kept over the end of processes. Called once, before the network is started.
     *
     * @param kept            the store of this node, which is read
     * @param toleratedLosses number of nodes with a disk whose simultaneous loss must be tolerated
     */
    public void storeOn(OriginStore kept, int toleratedLosses) {
        store = kept;
        copies = Math.max(COPIES, toleratedLosses + 1);
        kept.read(this::restore);
    }

    /** Starts to remove expired records. */
    public void start() {
        majority.start();
        removeExpired();
    }

    /**
     * Returns the counts of records and queries.
     *
     * @return the counters
     */
    public OriginCounters counters() {
        return counters;
    }

    /**
     * Returns the number of records that this node keeps, for itself and for others.
     *
     * @return a count
     */
    public int size() {
        return table.size();
    }

    /**
     * Returns how many records were dropped before they expired.
     *
     * @return a count
     */
    public long dropped() {
        return table.dropped();
    }

    /**
     * Returns whether this node may conclude from a missing record where a stream began.
     *
     * @return false just after its start, and while it does not reach a majority
     */
    public boolean isInformed() {
        return majority.isInformed();
    }

    /**
     * Returns what this node has stored on its disk.
     *
     * @return empty if it has none
     */
    public Optional<OriginStoreStatus> storeStatus() {
        return store.status();
    }

    /**
     * Stores on the disk what this node has recorded, before it stops.
     *
     * @param done run when that is done or has failed, or after a bounded time
     */
    public void flush(Runnable done) {
        store.flush(done);
    }

    /** Ends the use of the disk. */
    public void close() {
        store.close();
    }

    @Override
    public boolean mayBegin(UpstreamRecord upstream) {
        return software.mayBegin(upstream);
    }

    @Override
    public boolean isLearning() {
        return majority.exchangeNanosLeft() > 0;
    }

    @Override
    public void record(StreamKey key, UpstreamRecord upstream, long order) {
        String pool = upstream.pool();
        OriginRecord added = new OriginRecord(key, pool, new StreamOrigin(upstream.software(), order));
        table.put(added, true, expiry());
        if (software.isMixed(pool)) {
            store(added);
        } else {
            mixedPools.remove(pool);
        }
    }

    @Override
    public void find(StreamKey key, String pool, Consumer<OriginResult> listener) {
        ask(key, pool, views -> {
            Optional<StreamOrigin> newest = OriginView.newest(views);
            if (newest.isPresent()) {
                report(new OriginResult.Recorded(newest.get()), listener);
            } else {
                software.findOnly(pool, views, only -> onOnlyVersion(key, pool, views, only, listener));
            }
        });
    }

    /**
     * Stores the streams of a pool elsewhere as soon as a second version is known in it.
     *
     * @param change an upstream that has changed
     */
    public void onUpstreamChange(UpstreamRecord change) {
        onSoftwareChange(change.pool());
    }

    /**
     * Stores the streams of a pool elsewhere as soon as a second version may begin some in it.
     *
     * @param pool name of the pool
     */
    public void onSoftwareChange(String pool) {
        if (software.isMixed(pool) && mixedPools.add(pool)) {
            List<OriginRecord> kept = table.own(pool, timers.nanoTime());
            LOGGER.info("event=stream-origins-stored pool={} streams={}", pool, kept.size());
            store(kept);
        }
    }

    @Override
    public void onMessage(MeshNode node, WireMessage message) {
        if (message instanceof OriginRecordsMessage received) {
            store.add(received.records().stream()
                    .filter(each -> table.put(each, false, expiry()))
                    .toList());
        } else if (message instanceof OriginQueryMessage asked) {
            node.send(new OriginAnswerMessage(asked.query(), view(asked.key(), asked.pool())));
        } else if (message instanceof OriginAnswerMessage answer) {
            OriginQuery query = queries.get(answer.query());
            if (query != null) {
                query.answered(node.address(), answer.view());
                finishIfComplete(answer.query());
            }
        }
    }

    @Override
    public void onNodeUp(MeshNode node) {
        if (node.hello().durable()) {
            repeated.onNodeUp();
        }
    }

    @Override
    public void onNodeDown(MeshNode node) {
        queries.values().forEach(query -> query.lost(node.address()));
        List.copyOf(queries.keySet()).forEach(this::finishIfComplete);
    }

    /**
     * Handles the search for the only version. After a start it is repeated while a node that may hold a record is not
     * connected, and once others have sent what they know.
     */
    private void onOnlyVersion(
            StreamKey key,
            String pool,
            List<OriginView> views,
            Optional<SoftwareVersion> only,
            Consumer<OriginResult> listener) {
        long left = majority.exchangeNanosLeft();
        boolean complete = mesh.isComplete();
        if (only.isEmpty() && left > 0 && !(complete && software.isMixed(pool))) {
            repeated.add(complete ? left : Math.min(left, REPEAT_NANOS), () -> find(key, pool, listener));
            return;
        }
        LOGGER.info(
                "event=stream-without-record key={} pool={} only={} views={} connected={} uptime_ms={}",
                key.text(),
                pool,
                only.map(SoftwareVersion::text).orElse(""),
                views,
                mesh.count(),
                Duration.ofNanos(majority.uptimeNanos()).toMillis());
        OriginResult result = only.isPresent() ? new OriginResult.OnlyVersion(only.get()) : new OriginResult.Unknown();
        report(result, listener);
    }

    private void removeExpired() {
        table.removeExpired(timers.nanoTime());
        timers.schedule(SWEEP_NANOS, this::removeExpired);
    }

    private void report(OriginResult result, Consumer<OriginResult> listener) {
        counters.record(result);
        listener.accept(result);
    }

    /** Asks the nodes that would hold a record. */
    private void ask(StreamKey key, String pool, Consumer<List<OriginView>> listener) {
        OriginView own = view(key, pool);
        List<MeshNode> asked = table.isOwn(key, timers.nanoTime())
                ? List.of()
                : RecordHolders.of(key, mesh.nodes(), Math.max(ASKED, copies + ASKED_BESIDES));
        OriginQuery query =
                new OriginQuery(own, asked.stream().map(MeshNode::address).collect(Collectors.toSet()), listener);
        if (query.isComplete()) {
            query.finish();
            return;
        }
        long id = queryNumbers.next();
        queries.put(id, query);
        query.limitTime(timers.schedule(QUERY_TIMEOUT_NANOS, () -> finish(id)));
        for (MeshNode node : asked) {
            if (!node.send(new OriginQueryMessage(id, key, pool))) {
                query.lost(node.address());
            }
        }
        finishIfComplete(id);
    }

    private OriginView view(StreamKey key, String pool) {
        return new OriginView(table.find(key, timers.nanoTime()), observed.versions(pool), majority.isInformed());
    }

    private long expiry() {
        return timers.nanoTime() + lifetimeNanos.getAsLong();
    }

    private void restore(StoredOrigins stored) {
        long until = timers.nanoTime() + Math.max(stored.lifetimeNanos(), lifetimeNanos.getAsLong());
        stored.records().forEach(each -> table.put(each, false, until));
    }

    private void store(OriginRecord added) {
        OriginRecordsMessage message = new OriginRecordsMessage(List.of(added));
        RecordHolders.of(added.key(), mesh.nodes(), copies).forEach(node -> node.send(message));
        store.add(message.records());
        counters.recordStored(1);
    }

    private void store(List<OriginRecord> kept) {
        Map<MeshNode, List<OriginRecord>> byNode = new HashMap<>();
        List<MeshNode> nodes = mesh.nodes();
        for (OriginRecord each : kept) {
            RecordHolders.of(each.key(), nodes, copies)
                    .forEach(node ->
                            byNode.computeIfAbsent(node, n -> new ArrayList<>()).add(each));
        }
        byNode.forEach(SharedStreamOrigins::send);
        store.add(kept);
        counters.recordStored(kept.size());
    }

    private static void send(MeshNode node, List<OriginRecord> records) {
        for (int from = 0; from < records.size(); from += MAX_BATCH) {
            List<OriginRecord> batch = records.subList(from, Math.min(records.size(), from + MAX_BATCH));
            node.send(new OriginRecordsMessage(batch));
        }
    }

    private void finishIfComplete(long id) {
        OriginQuery query = queries.get(id);
        if (query != null && query.isComplete()) {
            finish(id);
        }
    }

    private void finish(long id) {
        OriginQuery query = queries.remove(id);
        if (query != null) {
            query.finish();
        }
    }
}
