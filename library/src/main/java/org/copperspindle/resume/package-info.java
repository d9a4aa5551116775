/**
 * Resuming streams whose engine was lost after events had reached the caller: until when the next event is on time, and
 * when an engine that has stopped sending is given up.
 */
package org.copperspindle.resume;
