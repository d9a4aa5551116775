/**
 * The HTTP interface for callers: authentication, admission, dispatch to agents, and whole responses or server-sent
 * events.
 */
package org.copperspindle.entry;
