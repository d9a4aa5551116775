/**
 * The demonstration: a whole deployment in one process, a trace replayed over HTTP, and the promises checked against a
 * ledger that the system does not write.
 */
package org.copperspindle.demo;
