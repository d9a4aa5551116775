/**
 * Verdicts on whether a request or attempt may have run; every attempt and every response carries one.
 */
package org.copperspindle.verdict;
