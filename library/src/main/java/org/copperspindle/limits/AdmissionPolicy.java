package org.copperspindle.limits;

import java.time.Duration;
import java.util.Optional;

import org.copperspindle.config.AccountSettings;
import org.copperspindle.config.Priority;

/**
 * Decides whether a request is taken on.
 */
public interface AdmissionPolicy {

    /**
     * Takes this entry's part of every account's rate. A policy that is never told has the whole.
     *
     * @param fraction from 0 to 1
     * @param now      nanoseconds of the timer service
     */
    void setRateShare(double fraction, long now);

    /**
     * Decides on one request. An admitted request must be given back with {@link #release}.
     *
     * @param account  client account
     * @param priority priority of the request
     * @param now      nanoseconds of the timer service
     * @return empty if it is admitted, else when the caller may come back
     */
    Optional<Duration> tryAdmit(AccountSettings account, Priority priority, long now);

    /**
     * Gives an admitted request back.
     *
     * @param account  client account
     * @param priority priority of the request
     */
    void release(AccountSettings account, Priority priority);
}
