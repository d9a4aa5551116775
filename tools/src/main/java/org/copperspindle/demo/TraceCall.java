package org.copperspindle.demo;

/**
 * One call of the demonstration.
 *
 * @param atMillis     time since the start
 * @param account      client account that calls
 * @param call         pipeline or plain service
 * @param tokens       tokens asked for; 0 for plain services
 * @param stream       whether the answer is taken as server-sent events
 * @param resendMillis time after which the call is sent again with the same key; 0 for never
 */
record TraceCall(long atMillis, String account, String call, int tokens, boolean stream, long resendMillis) {}
