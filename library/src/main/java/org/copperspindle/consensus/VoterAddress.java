package org.copperspindle.consensus;

import java.net.InetSocketAddress;

/**
 * A voter as settings name it.
 *
 * @param name    identity of its process
 * @param address address of its system protocol
 */
public record VoterAddress(String name, InetSocketAddress address) {}
