/**
 * The command-line interface: one class for each command, and the entry point that selects and runs it.
 */
package org.copperspindle.cli;
