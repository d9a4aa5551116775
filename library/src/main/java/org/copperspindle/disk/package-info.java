/**
 * Files that must survive a crash or a loss of power, and what their formats share.
 */
package org.copperspindle.disk;
