package org.copperspindle.loopback;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A loopback address that its holder has to itself, and ports on it that are known before anything listens there.
 *
 * <p>A port that was found free on 127.0.0.1 can be taken before its owner binds it, or while its owner is down: outgoing
 * connections start at that address, and the kernel gives free ports to whoever asks for any. The owner then fails with
 * a {@link java.net.BindException}. Here neither happens: no outgoing connection starts at another loopback address, no
 * port is given twice, and all lie below the range from which the kernel gives ports on every address.
 */
public final class LoopbackHost {

    /** Below 32,768, where the range begins from which the kernel gives ports. */
    private static final int FIRST_PORT = 20_000;

    private static final int LAST_PORT = 32_000;

    /** A process may listen on the port after its own, so ports are given in pairs. */
    private static final int PAIR = 2;

    /** Values of one byte of an address, without 0 and those that stand for all hosts. */
    private static final int BYTE_VALUES = 250;

    private static final AtomicInteger OPENED = new AtomicInteger();

    private final InetAddress address;
    private int nextPort = FIRST_PORT;

    private LoopbackHost(InetAddress address) {
        this.address = address;
    }

    /**
     * Opens a host of its own for the caller. Hosts of processes that run at the same time differ by the process's id.
     * Where the machine has one loopback address only, as some operating systems have, it is that one.
     *
     * @return the host; it holds nothing open
     * @throws IOException if the machine has no loopback address
     */
    public static LoopbackHost open() throws IOException {
        long pid = ProcessHandle.current().pid();
        int number = OPENED.getAndIncrement() % BYTE_VALUES;
        String own = "127." + (1 + pid % BYTE_VALUES) + "." + pid / BYTE_VALUES % BYTE_VALUES + "." + (1 + number);
        InetAddress address = InetAddress.getByName(own);
        return new LoopbackHost(canBind(address, 0) ? address : InetAddress.getByName("127.0.0.1"));
    }

    /**
     * Gives a port and the one after it, both free and not given before.
     *
     * @return the address with the first of the two ports
     * @throws IOException if no port is left
     */
    public synchronized InetSocketAddress nextAddress() throws IOException {
        while (nextPort < LAST_PORT) {
            int port = nextPort;
            nextPort += PAIR;
            if (canBind(address, port) && canBind(address, port + 1)) {
                return new InetSocketAddress(address, port);
            }
        }
        throw new IOException("no two free ports left at " + address.getHostAddress());
    }

    /** Says whether a port can be listened at, or with port 0 whether the machine knows the address. */
    private static boolean canBind(InetAddress address, int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, address)) {
            return socket.isBound();
        } catch (IOException e) {
            // The port is taken on all addresses, or the operating system knows 127.0.0.1 only: the caller takes
            // another.
            return false;
        }
    }
}
