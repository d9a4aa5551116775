package org.copperspindle.demo;

/**
 * A call to replay in the demonstration.
 *
 * @param atMillis     time of the call since the start of the replay
 * @param account      client account of the caller
 * @param call         name of the pipeline or plain service
 * @param tokens       number of tokens requested; 0 for plain services
 * @param stream       whether the response is requested as server-sent events
 * @param resendMillis delay until the call is sent again with the same key; 0 for never
 */
record TraceCall(long atMillis, String account, String call, int tokens, boolean stream, long resendMillis) {}
