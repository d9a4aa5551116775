/**
 * Attainment, cost by stage and Micrometer metrics.
 */
package org.copperspindle.measure;
