/**
 * Overload of one node while others have capacity: its detection, its exchange between nodes, and which connections of
 * callers a node takes meanwhile.
 */
package org.copperspindle.overload;
