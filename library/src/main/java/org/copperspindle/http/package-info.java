/**
 * HTTP listener on Netty's codec, shared by the entry's and the control member's doors.
 */
package org.copperspindle.http;
