package org.copperspindle.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import net.openhft.hashing.LongHashFunction;
import org.copperspindle.membership.UpstreamAnnouncement;

/**
 * The planner's view of a pool at one point in time: what each upstream serves, and the changes in progress.
 */
final class PoolView {

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private final PlacementSettings settings;
    private final Map<String, Upstream> upstreams = new LinkedHashMap<>();
    private final Map<String, Integer> serving = new HashMap<>();
    private final Map<String, Integer> servingFamily = new HashMap<>();
    private final Map<String, Integer> loading = new HashMap<>();
    private final Map<String, Map<String, Integer>> copiesBySubject = new HashMap<>();
    private final Set<String> desiredFamilies = new HashSet<>();
    private int changesInProgress;

    PoolView(PlacementSettings settings) {
        this.settings = settings;
        settings.copies().forEach((subject, count) -> {
            if (count > 0) {
                desiredFamilies.add(ModelName.parse(subject).family());
            }
        });
    }

    /** An upstream of the pool that accepts new work. */
    private static final class Upstream {
        private final String id;
        private final String failureDomain;
        private final Set<String> subjects;
        private boolean changing;

        private Upstream(UpstreamAnnouncement announcement, Collection<String> subjects) {
            this.id = announcement.upstreamId();
            this.failureDomain = announcement.failureDomain();
            this.subjects = new HashSet<>(subjects);
        }

        private long models() {
            return subjects.stream().filter(s -> s.indexOf('+') < 0).count();
        }

        private boolean serves(String base) {
            return subjects.stream().anyMatch(s -> {
                ModelName name = ModelName.parse(s);
                return name.adapter().isEmpty() && name.base().equals(base);
            });
        }

        private boolean holdsAdapterOf(String base) {
            return subjects.stream().anyMatch(s -> s.startsWith(base + "+"));
        }
    }

    void add(UpstreamAnnouncement announcement, Collection<String> subjects) {
        Upstream upstream = new Upstream(announcement, subjects);
        upstreams.put(upstream.id, upstream);
        subjects.forEach(subject -> adjustServing(upstream, subject, 1));
    }

    /**
     * Accounts for an open order: a copy that it unloads no longer counts as serving, and a copy that it loads does not
     * count as serving yet.
     */
    void changing(String upstreamId, OrderKind kind, String subject) {
        Upstream upstream = upstreams.get(upstreamId);
        if (upstream == null) {
            return;
        }
        upstream.changing = true;
        changesInProgress++;
        if (kind.loads() && !upstream.subjects.contains(subject)) {
            loading.merge(subject, 1, Integer::sum);
            copiesByDomain(subject).merge(upstream.failureDomain, 1, Integer::sum);
        } else if (kind.unloads() && upstream.subjects.remove(subject)) {
            adjustServing(upstream, subject, -1);
        }
    }

    boolean mayStartChange() {
        return changesInProgress < Math.max(1, (int) Math.floor(settings.maxInChange() * upstreams.size()));
    }

    int size() {
        return upstreams.size();
    }

    /** Returns the desired subjects with missing copies, ordered by descending share of missing copies. */
    List<String> shortfalls() {
        List<String> missing = new ArrayList<>();
        settings.copies().keySet().stream().filter(s -> missing(s) > 0).forEach(missing::add);
        missing.sort(Comparator.comparingDouble(
                        (String s) -> -(double) missing(s) / settings.copies().get(s))
                .thenComparing(Comparator.comparingInt((String s) -> -missing(s)))
                .thenComparing(Comparator.naturalOrder()));
        return missing;
    }

    int missing(String subject) {
        int present = serving.getOrDefault(subject, 0) + loading.getOrDefault(subject, 0);
        return Math.max(0, settings.copies().getOrDefault(subject, 0) - present);
    }

    /**
     * Finds the upstream for a new copy: prefers the failure domain with the fewest copies, then decides by a stable
     * hash.
     */
    Optional<String> loadTarget(String subject, Predicate<String> allowed) {
        return best(subject, u -> hasFreeSlot(u, subject) && allowed.test(u.id));
    }

    /** Finds a surplus copy that occupies the slot of a missing one, and returns the order that unloads it. */
    Optional<FleetAction.Place> freeSlot(String subject, Predicate<String> allowed) {
        boolean adapter = ModelName.parse(subject).adapter().isPresent();
        return best(
                        subject,
                        u -> allowed.test(u.id) && surplus(u, adapter, subject).isPresent())
                .map(upstreams::get)
                .map(u -> unload(u.id, surplus(u, adapter, subject).orElseThrow()));
    }

    private Optional<String> best(String subject, Predicate<Upstream> isEligible) {
        Map<String, Integer> copies = copiesByDomain(subject);
        Upstream best = null;
        for (Upstream u : upstreams.values()) {
            if (u.changing || u.subjects.contains(subject) || !isEligible.test(u)) {
                continue;
            }
            if (best == null || isPreferred(copies, subject, u, best)) {
                best = u;
            }
        }
        return Optional.ofNullable(best).map(u -> u.id);
    }

    private static boolean isPreferred(
            Map<String, Integer> copies, String subject, Upstream candidate, Upstream other) {
        int difference = copies.getOrDefault(candidate.failureDomain, 0) - copies.getOrDefault(other.failureDomain, 0);
        return difference < 0 || difference == 0 && score(subject, candidate) > score(subject, other);
    }

    private static long score(String subject, Upstream upstream) {
        return HASH.hashChars(subject + "\n" + upstream.id);
    }

    private boolean hasFreeSlot(Upstream upstream, String subject) {
        ModelName name = ModelName.parse(subject);
        if (name.adapter().isEmpty()) {
            return upstream.models() < settings.slots();
        }
        return upstream.serves(name.base()) && upstream.subjects.size() - upstream.models() < settings.adapterSlots();
    }

    private Optional<String> surplus(Upstream upstream, boolean adapter, String replacement) {
        ModelName replacementName = ModelName.parse(replacement);
        if (adapter && !upstream.serves(replacementName.base())) {
            return Optional.empty();
        }
        return upstream.subjects.stream()
                .filter(s -> s.indexOf('+') >= 0 == adapter)
                .filter(s ->
                        adapter || !upstream.holdsAdapterOf(ModelName.parse(s).base()))
                .filter(this::mayUnload)
                .min(Comparator.naturalOrder());
    }

    private boolean mayUnload(String subject) {
        if (serving.getOrDefault(subject, 0) <= settings.copies().getOrDefault(subject, 0)) {
            return false;
        }
        // The last serving copy of any version must stay until a copy of another version serves. Otherwise every
        // request for the model would fail until a load has ended, and a load may fail.
        String family = ModelName.parse(subject).family();
        return !desiredFamilies.contains(family) || servingFamily.getOrDefault(family, 0) > 1;
    }

    private static FleetAction.Place unload(String upstreamId, String subject) {
        boolean adapter = ModelName.parse(subject).adapter().isPresent();
        return new FleetAction.Place(upstreamId, adapter ? OrderKind.UNLOAD_ADAPTER : OrderKind.UNLOAD_MODEL, subject);
    }

    private void adjustServing(Upstream upstream, String subject, int change) {
        serving.merge(subject, change, Integer::sum);
        servingFamily.merge(ModelName.parse(subject).family(), change, Integer::sum);
        copiesByDomain(subject).merge(upstream.failureDomain, change, Integer::sum);
    }

    private Map<String, Integer> copiesByDomain(String subject) {
        return copiesBySubject.computeIfAbsent(subject, s -> new HashMap<>());
    }
}
