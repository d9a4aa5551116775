/**
 * Versions of the route table: recorded by the control group before they are acknowledged, pushed to every node, and in
 * force at a node only while it holds a lease that says that it has the newest one.
 */
package org.copperspindle.version;
