package org.copperspindle.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stands before a port of a node on loopback and passes bytes on, late, in one direction, or not at all.
 */
final class LinkProxy implements AutoCloseable {

    private static final int BUFFER = 16 << 10;
    private static final long DELAY_MILLIS = 150;
    private static final long LOOK_MILLIS = 20;
    private static final int BACKLOG = 50;

    private final ServerSocket server;
    private final InetSocketAddress target;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile LinkMode mode = LinkMode.PASS;

    LinkProxy(InetSocketAddress listen, InetSocketAddress target) throws IOException {
        this.target = target;
        this.server = new ServerSocket(listen.getPort(), BACKLOG, listen.getAddress());
        start(this::accept, "proxy-" + listen.getPort());
    }

    void mode(LinkMode next) {
        mode = next;
    }

    /** Resets all connections; new ones work. */
    void reset() {
        for (Socket socket : sockets) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // It is closed already, which is what was wanted.
                sockets.remove(socket);
            }
        }
        sockets.clear();
    }

    @Override
    public void close() throws IOException {
        server.close();
        reset();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket from = server.accept();
                start(() -> connect(from), "proxy-connect");
            } catch (IOException e) {
                // Closed at the end of the soak; a failed accept concerns one connection only.
                continue;
            }
        }
    }

    private void connect(Socket from) {
        try {
            await(LinkMode.SILENCE, LinkMode.ONE_WAY);
            Socket to = new Socket();
            to.connect(target);
            to.setTcpNoDelay(true);
            from.setTcpNoDelay(true);
            sockets.add(from);
            sockets.add(to);
            start(() -> pump(from, to, true), "proxy-in");
            start(() -> pump(to, from, false), "proxy-out");
        } catch (IOException e) {
            // The node does not listen: the caller sees what it would see without a proxy.
            close(from);
        }
    }

    private void pump(Socket from, Socket to, boolean towardsTarget) {
        byte[] buffer = new byte[BUFFER];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                if (mode == LinkMode.DELAY) {
                    Pause.millis(DELAY_MILLIS);
                }
                if (towardsTarget) {
                    await(LinkMode.SILENCE, LinkMode.ONE_WAY);
                } else {
                    await(LinkMode.SILENCE, LinkMode.SILENCE);
                }
                out.write(buffer, 0, count);
                out.flush();
            }
        } catch (IOException e) {
            // One side is gone; the other one hears of it below.
            close(from);
        }
        close(from);
        close(to);
    }

    private void await(LinkMode first, LinkMode second) {
        while (mode == first || mode == second) {
            Pause.millis(LOOK_MILLIS);
        }
    }

    private void close(Socket socket) {
        sockets.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing is left to close.
            return;
        }
    }

    private static void start(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }
}
