/**
 * Quarantine of requests that terminate the upstreams that run them: detection of terminations, distinction from
 * requests that only ran on the same upstream, and exchange of suspicions between all nodes.
 */
package org.copperspindle.quarantine;
