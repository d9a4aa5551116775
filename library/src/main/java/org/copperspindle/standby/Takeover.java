package org.copperspindle.standby;

/**
 * A takeover as one node knows it.
 *
 * @param dispatcher  name of the dispatcher that is replaced
 * @param incarnation incarnation of the dispatcher's process
 * @param standby     name of the node that dispatches instead
 * @param validUntil  end of its validity unless it is announced again, monotonic time in nanoseconds
 */
record Takeover(String dispatcher, long incarnation, String standby, long validUntil) {

    boolean isSameAs(Takeover other) {
        return dispatcher.equals(other.dispatcher) && incarnation == other.incarnation && standby.equals(other.standby);
    }

    /** Returns this takeover, valid at least until a time. */
    Takeover prolonged(long until) {
        return isExpired(until) ? new Takeover(dispatcher, incarnation, standby, until) : this;
    }

    boolean isExpired(long now) {
        return now - validUntil >= 0;
    }
}
