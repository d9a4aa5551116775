/**
 * What cold upstreams get. One that has just started, or came back from an evacuation, bears a few requests a second from all
 * nodes together, and ends well above that; it looks empty to every node in the same moment.
 */
package org.copperspindle.coldstart;
