/**
 * Which engine gets a prompt: engines that have cached the shared part of the
 * prompt are preferred as long as the prompt neither comes late there nor interrupts the streams that run there.
 */
package org.copperspindle.placement;
