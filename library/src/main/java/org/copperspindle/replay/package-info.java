/**
 * Replay of traces in virtual time, with checks of the expected outcomes.
 */
package org.copperspindle.replay;
