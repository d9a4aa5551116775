/**
 * Admission and retry policies: priorities, fair shares by client account, concurrency limits and retry budgets.
 */
package org.copperspindle.limits;
