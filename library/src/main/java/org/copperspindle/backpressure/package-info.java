/**
 * What upstreams ask of the nodes in their answers while they are in need, and how all nodes together comply.
 */
package org.copperspindle.backpressure;
