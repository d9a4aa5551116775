/**
 * HTTP calls to upstreams without an agent beside them: connections to many addresses on one network thread. A call
 * ends with either its complete response, or a failure that states whether the call was sent at all.
 */
package org.copperspindle.direct;
