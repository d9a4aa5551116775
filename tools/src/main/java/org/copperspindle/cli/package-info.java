/**
 * The command line: one class for each command, and the launcher that chooses among them.
 */
package org.copperspindle.cli;
