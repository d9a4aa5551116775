package org.copperspindle.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.mesh.MeshListener;
import org.copperspindle.mesh.MeshNode;
import org.copperspindle.route.Route;
import org.copperspindle.route.RouteKind;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.WeightedPool;
import org.copperspindle.time.TimerService;
import org.copperspindle.version.SoftwareCommand;
import org.copperspindle.version.SoftwareInUseMessage;
import org.copperspindle.version.VersionResult;

/**
 * Proposes changes of the software versions in use while this node leads the control group. Versions that serve in a pool
 * with resumable streams are recorded; those of which no caller can hold a stream any more are retired. Must be used on
 * the network thread.
 */
final class SoftwareProposer implements MeshListener {

    private static final Logger LOGGER = LogManager.getLogger(SoftwareProposer.class);

    private static final long CHECK_INTERVAL_NANOS = Duration.ofMillis(250).toNanos();

    /** Pause after a proposal that failed. */
    private static final long RETRY_NANOS = Duration.ofMillis(500).toNanos();

    /** Time after which a proposal without a result is repeated. */
    private static final long RESULT_TIMEOUT_NANOS = Duration.ofSeconds(5).toNanos();

    /** A longer time between two checks is a pause, in which versions may have been in use without being heard of. */
    private static final long MAX_CHECK_GAP_NANOS = Duration.ofSeconds(3).toNanos();

    private final SoftwareProposals proposals;
    private final Supplier<Optional<RouteTable>> tables;
    private final UpstreamDirectory directory;
    private final TimerService timers;
    private final LongSupplier lifetimeNanos;
    private final long leaseNanos;
    private final SoftwareDeferral deferral;
    private final Map<String, Long> poolRepeatAt = new HashMap<>();
    private final Map<PoolVersion, Long> unusedSince = new HashMap<>();
    private final Set<PoolVersion> refused = new HashSet<>();
    private Optional<RouteTable> checkedTable = Optional.empty();
    private long ledTerm;
    private long ledSince;
    private long checkedAt;

    /**
     * Creates a proposer that doesn't run.
     *
     * @param proposals     the control group
     * @param tables        supplies the table that this node holds
     * @param directory     the known upstreams
     * @param timers        timers of the network thread
     * @param lifetimeNanos supplies the time after which no caller takes a stream up, in nanoseconds from its start
     * @param lease         duration of a lease
     * @param deferral      how long further versions are not recorded
     */
    SoftwareProposer(
            SoftwareProposals proposals,
            Supplier<Optional<RouteTable>> tables,
            UpstreamDirectory directory,
            TimerService timers,
            LongSupplier lifetimeNanos,
            Duration lease,
            SoftwareDeferral deferral) {
        this.proposals = proposals;
        this.tables = tables;
        this.directory = directory;
        this.timers = timers;
        this.lifetimeNanos = lifetimeNanos;
        this.leaseNanos = lease.toNanos();
        this.deferral = deferral;
    }

    /** Streams may have broken off with a former process of the node if a version has begun any by now. */
    @Override
    public void onNodeUp(MeshNode node) {
        if (proposals.held().count() > 0) {
            deferral.onNodeUp(timers.nanoTime());
        }
    }

    /** Checks periodically. */
    void start() {
        check();
        timers.schedule(CHECK_INTERVAL_NANOS, this::start);
    }

    /** Proposes what is to be changed now; called at once when an upstream has changed. */
    void check() {
        long now = timers.nanoTime();
        long term = proposals.ledTerm();
        if (term == 0 || term != ledTerm || now - checkedAt > MAX_CHECK_GAP_NANOS) {
            ledTerm = term;
            ledSince = now;
            unusedSince.clear();
            poolRepeatAt.clear();
        }
        checkedAt = now;
        if (term == 0 || tables.get().isEmpty() || !proposals.isReadable()) {
            return;
        }
        poolRepeatAt.values().removeIf(at -> now - at >= 0);
        keepMoved(tables.get().get());
        resumablePools(tables.get().get()).forEach(pool -> recordNew(pool, now));
        retireUnused(now);
    }

    /**
     * Counts the versions of streams that a new table has moved as in use until now: until then nodes have begun such streams
     * in their former pool.
     */
    private void keepMoved(RouteTable table) {
        if (checkedTable.filter(before -> before == table).isPresent()) {
            return;
        }
        checkedTable.ifPresent(before -> MovedStreams.softwareOf(before, table, proposals.held())
                .forEach((pool, versions) ->
                        versions.forEach(version -> unusedSince.remove(new PoolVersion(pool, version)))));
        checkedTable = Optional.of(table);
    }

    private static Set<String> resumablePools(RouteTable table) {
        return table.routes().stream()
                .filter(route -> route.kind() == RouteKind.STREAM && route.resumable())
                .map(Route::pools)
                .flatMap(List::stream)
                .map(WeightedPool::pool)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private void recordNew(String pool, long now) {
        SoftwareInUseMessage held = proposals.held();
        List<String> lacking = directory.softwareSince(pool, now - lifetimeNanos.getAsLong()).stream()
                .map(SoftwareVersion::text)
                .filter(version -> !held.contains(pool, version))
                .filter(version -> !deferral.defers(pool, version, held.versions(pool), now))
                .sorted()
                .toList();
        List<String> fitting = lacking.subList(0, Math.min(lacking.size(), Math.max(0, held.room(pool))));
        lacking.subList(fitting.size(), lacking.size()).forEach(version -> reportFull(pool, version));
        if (!fitting.isEmpty() || !held.isKept()) {
            propose(new SoftwareCommand(pool, fitting, true), now);
        }
    }

    private void reportFull(String pool, String version) {
        if (refused.size() < SoftwareInUseMessage.MAX_VERSIONS && refused.add(new PoolVersion(pool, version))) {
            LOGGER.warn("event=software-not-recorded pool={} software={} reason=too-many-in-use", pool, version);
        }
    }

    private void retireUnused(long now) {
        SoftwareInUseMessage held = proposals.held();
        long silentNanos = UpstreamDirectory.EXPIRY.toNanos();
        long unusedNanos = lifetimeNanos.getAsLong() + leaseNanos;
        Set<PoolVersion> recorded = new HashSet<>();
        held.versionsByPool().forEach((pool, versions) -> {
            Set<SoftwareVersion> heard = directory.softwareSince(pool, now - silentNanos);
            List<String> retired = new ArrayList<>();
            for (String version : versions) {
                PoolVersion each = new PoolVersion(pool, version);
                recorded.add(each);
                if (heard.contains(new SoftwareVersion(version))) {
                    unusedSince.remove(each);
                } else if (now - unusedSince.computeIfAbsent(each, e -> now) > unusedNanos
                        && now - ledSince > unusedNanos + silentNanos) {
                    retired.add(version);
                }
            }
            if (!retired.isEmpty()) {
                propose(new SoftwareCommand(pool, retired, false), now);
            }
        });
        unusedSince.keySet().retainAll(recorded);
    }

    private void propose(SoftwareCommand change, long now) {
        if (poolRepeatAt.putIfAbsent(change.pool(), now + RESULT_TIMEOUT_NANOS) == null) {
            proposals.propose(change, result -> onResult(change, result));
        }
    }

    private void onResult(SoftwareCommand change, VersionResult result) {
        if (result instanceof VersionResult.Recorded && isHeld(change)) {
            poolRepeatAt.remove(change.pool());
            check();
            return;
        }
        LOGGER.warn(
                "event=software-proposal-failed pool={} software={} in_use={} result={}",
                change.pool(),
                change.versions(),
                change.isInUse(),
                result.getClass().getSimpleName());
        poolRepeatAt.put(change.pool(), timers.nanoTime() + RETRY_NANOS);
    }

    private boolean isHeld(SoftwareCommand change) {
        SoftwareInUseMessage held = proposals.held();
        return held.isKept()
                && change.versions().stream()
                        .allMatch(version -> held.contains(change.pool(), version) == change.isInUse());
    }

    /** A version of one pool. */
    private record PoolVersion(String pool, String version) {}
}
