/**
 * Digests that identify texts and contents of any length in a bounded one.
 */
package org.copperspindle.digest;
