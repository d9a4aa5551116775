/**
 * Execution of one request through its stages under one deadline, as a pure state machine.
 */
package org.copperspindle.pipeline;
