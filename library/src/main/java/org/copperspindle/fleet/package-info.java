/**
 * Desired and observed placement of models on engines, and the fenced orders that reconcile them.
 */
package org.copperspindle.fleet;
