/**
 * Calls of upstreams without an agent beside them: HTTP connections to many addresses on one network thread. What comes
 * back is either a whole answer to the call that was sent, or a failure that says whether the call was sent at all.
 */
package org.copperspindle.direct;
