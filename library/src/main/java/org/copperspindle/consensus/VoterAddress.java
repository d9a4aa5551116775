package org.copperspindle.consensus;

import java.net.InetSocketAddress;

/**
 * A voter as configured or discovered.
 *
 * @param name    identity of its process
 * @param address address of its internal protocol
 */
public record VoterAddress(String name, InetSocketAddress address) {}
