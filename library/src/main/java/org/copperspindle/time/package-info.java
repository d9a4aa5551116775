/**
 * Timer services in real and in virtual time, which all other packages use as their clock.
 */
package org.copperspindle.time;
