/**
 * Requests that end the upstreams that run them: how they are told apart from those that only ran beside them, and what all
 * nodes know of them.
 */
package org.copperspindle.quarantine;
