/**
 * Choice of an upstream for one attempt, and the score that other choices share with it.
 */
package org.copperspindle.routing;
