/**
 * Claims of non-repeatable requests, committed before dispatch so that a request key runs at most once.
 */
package org.copperspindle.claims;
