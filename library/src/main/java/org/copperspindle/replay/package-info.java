/**
 * Replay of recorded traces against stated outcomes, in virtual time.
 */
package org.copperspindle.replay;
