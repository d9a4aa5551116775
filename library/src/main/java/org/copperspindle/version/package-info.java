/**
 * Configuration versions, that is versions of the route table. The control group records a version before it is
 * acknowledged and pushes it to every node. A node serves by it only while it holds a lease confirming that this is
 * the newest version.
 */
package org.copperspindle.version;
