/**
 * The stages of one request: their dependencies, and the results that they produce and need.
 */
package org.copperspindle.stage;
