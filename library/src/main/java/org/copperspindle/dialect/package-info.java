/**
 * What callers, upstreams and operators of a node speak: HTTP header fields and JSON bodies whose names a deployment may
 * choose, and the project's own choice of them.
 */
package org.copperspindle.dialect;
