package org.copperspindle.wire;

import java.net.InetSocketAddress;

import io.netty.util.NetUtil;

/**
 * Formats and parses socket addresses as text. Hosts are numeric IP addresses, because processes must not depend on
 * name resolution.
 */
public final class NumericAddress {

    private static final int MAX_PORT = 65535;

    private NumericAddress() {}

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
     * Parses an address in the form that {@link #format} returns.
     *
     * @param text IP:PORT
     * @return the address
     * @throws IllegalArgumentException if the text is not of that form
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("not IP:PORT: " + text);
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port <= 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("not a port: " + text);
        }
        String host = text.substring(0, colon);
        if (!NetUtil.isValidIpV4Address(host) && !NetUtil.isValidIpV6Address(host)) {
            // A host name would be resolved, which blocks the thread for seconds if the name server can't be
            // reached.
            throw new IllegalArgumentException("not an IP number: " + text);
        }
        return new InetSocketAddress(host, port);
    }

    /**
     * Checks that a string is a valid address.
     *
     * @param text IP:PORT
     * @return the same text
     * @throws IllegalArgumentException if {@link #parse} can't read it
     */
    public static String requireValid(String text) {
        parse(text);
        return text;
    }
}
