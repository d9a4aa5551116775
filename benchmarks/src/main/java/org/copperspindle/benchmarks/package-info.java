/**
 * JMH benchmarks of the decisions.
 */
package org.copperspindle.benchmarks;
