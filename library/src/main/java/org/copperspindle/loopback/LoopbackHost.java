package org.copperspindle.loopback;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A loopback address for exclusive use, with ports that can be assigned before anything listens on them.
 *
 * <p>A port that was free on 127.0.0.1 can be taken before its owner binds it, or while its owner is down, because
 * outgoing connections use that address and the kernel assigns them free ports. The owner then fails with a
 * {@link java.net.BindException}. This class avoids it: outgoing connections don't use the other loopback addresses,
 * no port is assigned twice, and all ports are below the kernel's ephemeral port range.
 */
public final class LoopbackHost {

    /** The ports used are below 32,768, where the kernel's ephemeral port range begins. */
    private static final int FIRST_PORT = 20_000;

    private static final int LAST_PORT = 32_000;

    /** A process may also listen on the port after its own, so ports are assigned in pairs. */
    private static final int PORTS_PER_PROCESS = 2;

    /**
     * Number of values used for one byte of the address; leaves out 0 and the highest ones, among them 255 for
     * broadcast.
     */
    private static final int BYTE_VALUES = 250;

    private static final AtomicInteger OPENED_HOSTS = new AtomicInteger();

    private final InetAddress address;
    private int nextPort = FIRST_PORT;

    private LoopbackHost(InetAddress address) {
        this.address = address;
    }

    /**
     * Chooses a loopback address for the caller. The addresses of processes that run at the same time differ by
     * process id. On an operating system with a single loopback address, it is 127.0.0.1.
     *
     * @return the host; it holds no open resources
     * @throws IOException if the machine has no loopback address
     */
    public static LoopbackHost open() throws IOException {
        long pid = ProcessHandle.current().pid();
        int number = OPENED_HOSTS.getAndIncrement() % BYTE_VALUES;
        String own = "127." + (1 + pid % BYTE_VALUES) + "." + pid / BYTE_VALUES % BYTE_VALUES + "." + (1 + number);
        InetAddress address = InetAddress.getByName(own);
        return new LoopbackHost(canBind(address, 0) ? address : InetAddress.getByName("127.0.0.1"));
    }

    /**
     * Assigns a port and the one after it, both free and not assigned before.
     *
     * @return the address with the first of the two ports
     * @throws IOException if no port is left
     */
    public synchronized InetSocketAddress nextAddress() throws IOException {
        while (nextPort < LAST_PORT) {
            int port = nextPort;
            nextPort += PORTS_PER_PROCESS;
            if (canBind(address, port) && canBind(address, port + 1)) {
                return new InetSocketAddress(address, port);
            }
        }
        throw new IOException("no two free ports left at " + address.getHostAddress());
    }

    /** Returns whether a port can be bound or, with port 0, whether the machine has the address. */
    private static boolean canBind(InetAddress address, int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, address)) {
            return socket.isBound();
        } catch (IOException e) {
            // The port is bound on all addresses, or the operating system has only 127.0.0.1: the caller tries
            // another one.
            return false;
        }
    }
}
