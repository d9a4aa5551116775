/**
 * Choice of an upstream for one attempt, and the rendezvous score shared with other choices.
 */
package org.copperspindle.routing;
