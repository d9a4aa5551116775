/**
 * Admission of requests to their stages: when the stages of a request start, which request goes first while a stage
 * pool is short, and when refused callers should retry.
 */
package org.copperspindle.admission;
