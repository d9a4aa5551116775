/**
 * Backpressure: rate limits and backoffs that upstreams announce in their responses, and how all nodes together
 * comply with them.
 */
package org.copperspindle.backpressure;
