package org.copperspindle.limits;

import java.time.Duration;
import java.util.Optional;

import org.copperspindle.config.AccountSettings;
import org.copperspindle.config.Priority;

/**
 * Decides whether a request is admitted.
 */
public interface AdmissionPolicy {

    /**
     * Sets this entry's fraction of every account's rate. The initial fraction is 1.
     *
     * @param fraction from 0 to 1
     * @param now      monotonic time in nanoseconds
     */
    void setRateShare(double fraction, long now);

    /**
     * Admits a request if possible. An admitted request must be returned with {@link #release}.
     *
     * @param account  client account
     * @param priority priority of the request
     * @param now      monotonic time in nanoseconds
     * @return empty if it is admitted, else the time after which the caller may retry
     */
    Optional<Duration> tryAdmit(AccountSettings account, Priority priority, long now);

    /**
     * Releases an admitted request.
     *
     * @param account  client account
     * @param priority priority of the request
     */
    void release(AccountSettings account, Priority priority);
}
