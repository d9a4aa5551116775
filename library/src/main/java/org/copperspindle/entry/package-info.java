/**
 * Front door for callers: HTTP, authentication, admission, whole answers or server-sent events.
 */
package org.copperspindle.entry;
