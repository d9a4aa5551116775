/**
 * Loopback addresses for deployments that run on one machine: warm-up, demo, measurements and tests.
 */
package org.copperspindle.loopback;
