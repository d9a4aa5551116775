/**
 * Timer service that the other packages subscribe to, in real and in virtual time.
 */
package org.copperspindle.time;
