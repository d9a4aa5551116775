/**
 * Metrics of requests, such as attainment and cost by stage, published with Micrometer.
 */
package org.copperspindle.measure;
