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
 * One pool as the planner sees it at one instant: what each upstream serves, and what is being changed.
 */
final class PoolView {

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private final PlacementSettings settings;
    private final Map<String, Upstream> upstreams = new LinkedHashMap<>();
    private final Map<String, Integer> serving = new HashMap<>();
    private final Map<String, Integer> servingFamily = new HashMap<>();
    private final Map<String, Integer> coming = new HashMap<>();
    private final Map<String, Map<String, Integer>> byDomain = new HashMap<>();
    private final Set<String> wantedFamilies = new HashSet<>();
    private int inChange;

    PoolView(PlacementSettings settings) {
        this.settings = settings;
        settings.copies().forEach((subject, count) -> {
            if (count > 0) {
                wantedFamilies.add(ModelName.parse(subject).family());
            }
        });
    }

    /** An upstream of the pool that takes new work. */
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
        subjects.forEach(subject -> serves(upstream, subject, 1));
    }

    /** Counts an order that is open: what it takes away serves no more, what it brings does not serve yet. */
    void changing(String upstreamId, OrderKind kind, String subject) {
        Upstream upstream = upstreams.get(upstreamId);
        if (upstream == null) {
            return;
        }
        upstream.changing = true;
        inChange++;
        if (kind.loads() && !upstream.subjects.contains(subject)) {
            coming.merge(subject, 1, Integer::sum);
            domain(subject).merge(upstream.failureDomain, 1, Integer::sum);
        } else if (kind.unloads() && upstream.subjects.remove(subject)) {
            serves(upstream, subject, -1);
        }
    }

    boolean mayChangeMore() {
        return inChange < Math.max(1, (int) Math.floor(settings.maxInChange() * upstreams.size()));
    }

    int size() {
        return upstreams.size();
    }

    /** Returns the wanted subjects that lack copies, the highest share missing first. */
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
        int have = serving.getOrDefault(subject, 0) + coming.getOrDefault(subject, 0);
        return Math.max(0, settings.copies().getOrDefault(subject, 0) - have);
    }

    /** Finds where a copy should go: the failure domain with the fewest copies, then a stable choice by hash. */
    Optional<String> loadTarget(String subject, Predicate<String> allowed) {
        return best(subject, u -> hasRoom(u, subject) && allowed.test(u.id));
    }

    /** Finds a surplus copy that stands in the way of a wanted one. */
    Optional<FleetAction.Place> makeRoom(String subject, Predicate<String> allowed) {
        boolean adapter = ModelName.parse(subject).adapter().isPresent();
        return best(
                        subject,
                        u -> allowed.test(u.id) && surplus(u, adapter, subject).isPresent())
                .map(upstreams::get)
                .map(u -> unload(u.id, surplus(u, adapter, subject).orElseThrow()));
    }

    private Optional<String> best(String subject, Predicate<Upstream> fits) {
        Map<String, Integer> copies = domain(subject);
        Upstream best = null;
        for (Upstream u : upstreams.values()) {
            if (u.changing || u.subjects.contains(subject) || !fits.test(u)) {
                continue;
            }
            if (best == null || better(copies, subject, u, best)) {
                best = u;
            }
        }
        return Optional.ofNullable(best).map(u -> u.id);
    }

    private static boolean better(Map<String, Integer> copies, String subject, Upstream one, Upstream other) {
        int difference = copies.getOrDefault(one.failureDomain, 0) - copies.getOrDefault(other.failureDomain, 0);
        return difference < 0 || difference == 0 && score(subject, one) > score(subject, other);
    }

    private static long score(String subject, Upstream upstream) {
        return HASH.hashChars(subject + "\n" + upstream.id);
    }

    private boolean hasRoom(Upstream upstream, String subject) {
        ModelName name = ModelName.parse(subject);
        if (name.adapter().isEmpty()) {
            return upstream.models() < settings.slots();
        }
        return upstream.serves(name.base()) && upstream.subjects.size() - upstream.models() < settings.adapterSlots();
    }

    private Optional<String> surplus(Upstream upstream, boolean adapter, String instead) {
        ModelName wanted = ModelName.parse(instead);
        if (adapter && !upstream.serves(wanted.base())) {
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
        // The last copy in service of any version must stay until a copy of another version serves: without it every
        // request for the model would fail until a load has ended, and a load may fail.
        String family = ModelName.parse(subject).family();
        return !wantedFamilies.contains(family) || servingFamily.getOrDefault(family, 0) > 1;
    }

    private static FleetAction.Place unload(String upstreamId, String subject) {
        boolean adapter = ModelName.parse(subject).adapter().isPresent();
        return new FleetAction.Place(upstreamId, adapter ? OrderKind.UNLOAD_ADAPTER : OrderKind.UNLOAD_MODEL, subject);
    }

    private void serves(Upstream upstream, String subject, int change) {
        serving.merge(subject, change, Integer::sum);
        servingFamily.merge(ModelName.parse(subject).family(), change, Integer::sum);
        domain(subject).merge(upstream.failureDomain, change, Integer::sum);
    }

    private Map<String, Integer> domain(String subject) {
        return byDomain.computeIfAbsent(subject, s -> new HashMap<>());
    }
}
