package org.copperspindle.routing;

import net.openhft.hashing.LongHashFunction;
import org.copperspindle.membership.UpstreamAnnouncement;

/**
 * One upstream as seen by one entry. Owned by the entry's decision ring.
 */
public final class UpstreamView {

    private final UpstreamHealth health = new UpstreamHealth();
    private final long idHash;
    private UpstreamAnnouncement announcement;
    private int ownInFlight;
    private int othersInFlight;

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
     * Updates the announcement.
     *
     * @param newer the announcement; ignored if it is older than the current one
     */
    public void update(UpstreamAnnouncement newer) {
        if (newer.supersedes(announcement)) {
            announcement = newer;
        }
    }

    /**
     * Returns whether the upstream serves a model.
     *
     * @param model the model; empty for plain services
     * @return true if it serves the model
     */
    public boolean serves(String model) {
        return model.isEmpty() || announcement.models().contains(model);
    }

    /** Records that this entry dispatched an attempt to the upstream. */
    public void dispatched() {
        ownInFlight++;
    }

    /**
     * Records that an attempt of this entry at the upstream has ended.
     *
     * @param inFlight attempts that the agent reported with the outcome, -1 if the attempt was lost
     */
    public void onAttemptEnded(int inFlight) {
        ownInFlight--;
        if (inFlight >= 0) {
            othersInFlight = Math.max(0, inFlight - ownInFlight);
        }
    }

    /**
     * Processes a load report.
     *
     * @param inFlight running attempts of all entries
     */
    public void onLoadReport(int inFlight) {
        othersInFlight = Math.max(0, inFlight - ownInFlight);
    }

    /**
     * Returns the hash of the upstream's id.
     *
     * @return the hash, the same at every entry
     */
    public long idHash() {
        return idHash;
    }

    /**
     * Returns the observed successes and failures.
     *
     * @return its health
     */
    public UpstreamHealth health() {
        return health;
    }

    /**
     * Returns the load used for routing.
     *
     * @return own attempts in flight plus those of other entries at the last report
     */
    public int load() {
        return ownInFlight + othersInFlight;
    }
}
