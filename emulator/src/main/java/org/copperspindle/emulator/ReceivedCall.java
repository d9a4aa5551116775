package org.copperspindle.emulator;

/**
 * A call that came to a fake, run or not.
 *
 * @param execution what it asks for
 * @param path      its path
 * @param body      its body
 */
public record ReceivedCall(Execution execution, String path, String body) {}
