/**
 * Choice of an upstream for one attempt.
 */
package org.copperspindle.routing;
