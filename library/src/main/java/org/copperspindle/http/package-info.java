/**
 * HTTP/1.1 listener on Netty's codec, shared by the HTTP endpoints of all roles.
 */
package org.copperspindle.http;
