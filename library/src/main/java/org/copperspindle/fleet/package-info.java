/**
 * Wanted and seen placement of models on engines, and the fenced orders that close the gap.
 */
package org.copperspindle.fleet;
