package org.copperspindle.routing;

import net.openhft.hashing.LongHashFunction;
import org.copperspindle.membership.UpstreamAnnouncement;

/**
 * One upstream as one entry sees it. Owned by the entry's decision ring.
 */
public final class UpstreamView {

    private final UpstreamHealth health = new UpstreamHealth();
    private final long idHash;
    private UpstreamAnnouncement announcement;
    private int ownInFlight;
    private int reportedInFlight;

    /**
     * Creates a view.
     *
     * @param announcement newest announcement
     */
    public UpstreamView(UpstreamAnnouncement announcement) {
        this.announcement = announcement;
        this.idHash = LongHashFunction.xx3().hashChars(announcement.upstreamId());
    }

    /**
     * Returns the newest announcement.
     *
     * @return the announcement
     */
    public UpstreamAnnouncement announcement() {
        return announcement;
    }

    /**
     * Takes a newer announcement.
     *
     * @param newer the announcement; an older one is ignored
     */
    public void update(UpstreamAnnouncement newer) {
        if (newer.supersedes(announcement)) {
            announcement = newer;
        }
    }

    /**
     * Says whether the upstream serves a model.
     *
     * @param model the model; empty for plain services
     * @return true if it may be asked for it
     */
    public boolean serves(String model) {
        return model.isEmpty() || announcement.models().contains(model);
    }

    /** Notes that this entry dispatched an attempt there. */
    public void dispatched() {
        ownInFlight++;
    }

    /**
     * Notes that an attempt of this entry ended there.
     *
     * @param inFlight attempts that the agent reported with the outcome, -1 if the attempt was lost
     */
    public void ended(int inFlight) {
        ownInFlight--;
        if (inFlight >= 0) {
            reportedInFlight = inFlight;
        }
    }

    /**
     * Takes a load report.
     *
     * @param inFlight attempts running there, from all entries
     */
    public void reported(int inFlight) {
        reportedInFlight = inFlight;
    }

    /**
     * Returns the hash of its identity.
     *
     * @return the same for the same identity at every entry
     */
    public long idHash() {
        return idHash;
    }

    /**
     * Returns what the entry saw of its successes and failures.
     *
     * @return its health
     */
    public UpstreamHealth health() {
        return health;
    }

    /**
     * Returns the load that a choice goes by.
     *
     * @return the larger of own and reported attempts in flight
     */
    public int load() {
        return Math.max(ownInFlight, reportedInFlight);
    }
}
