/**
 * Whether a request or attempt may have run; carried by every attempt and every answer.
 */
package org.copperspindle.verdict;
