package org.copperspindle.consensus;

import java.net.InetSocketAddress;

/**
 * A voter as settings name it.
 *
 * @param name    identity of its process
 * @param address address of its system protocol
 */
public record VoterAddress(String name, InetSocketAddress address) {

    /**
     * Formats an address.
     *
     * @param address a resolved address
     * @return IP:PORT
     */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }

    /**
     * Parses what {@link #format} makes.
     *
     * @param text IP:PORT
     * @return the address
     */
    static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
