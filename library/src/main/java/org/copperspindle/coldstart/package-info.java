/**
 * Admission of requests to cold upstreams. An upstream that has just started or returned from an evacuation can take
 * only a few requests per second from all nodes together and crashes well above that rate, but looks idle to every
 * node at the same moment.
 */
package org.copperspindle.coldstart;
