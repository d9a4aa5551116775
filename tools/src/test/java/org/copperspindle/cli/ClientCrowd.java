package org.copperspindle.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * Clients that send the same bytes at once, each on a connection of its own that stays open. None reads its responses.
 */
final class ClientCrowd implements AutoCloseable {

    /** The crowd is at rest when no connection has taken a byte for this many rounds. */
    private static final int ROUNDS_AT_REST = 20;

    private static final long ROUND_MILLIS = 50;

    /** Bounds a crowd whose server reads forever. */
    private static final int MAX_ROUNDS = 1200;

    private final List<SocketChannel> connections = new ArrayList<>();
    private final Selector selector = Selector.open();

    /** Connects clients. Those that are not accepted, or closed at once, count as having been there. */
    ClientCrowd(InetSocketAddress address, int clients, byte[] bytes) throws IOException {
        for (int i = 0; i < clients; i++) {
            SocketChannel connection = SocketChannel.open();
            connection.configureBlocking(false);
            connection.connect(address);
            connection.register(selector, SelectionKey.OP_CONNECT, ByteBuffer.wrap(bytes));
            connections.add(connection);
        }
    }

    /** Sends until every client has sent all, was closed, or is no longer read. */
    void send() throws IOException {
        int atRest = 0;
        for (int round = 0;
                round < MAX_ROUNDS
                        && atRest < ROUNDS_AT_REST
                        && !selector.keys().isEmpty();
                round++) {
            selector.select(ROUND_MILLIS);
            boolean moved = false;
            for (SelectionKey key : selector.selectedKeys()) {
                moved |= advance(key);
            }
            selector.selectedKeys().clear();
            atRest = moved ? 0 : atRest + 1;
        }
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel connection : connections) {
            connection.close();
        }
        selector.close();
    }

    private static boolean advance(SelectionKey key) {
        SocketChannel connection = (SocketChannel) key.channel();
        ByteBuffer rest = (ByteBuffer) key.attachment();
        try {
            if (key.isConnectable() && connection.finishConnect()) {
                key.interestOps(SelectionKey.OP_WRITE);
            }
            int written = connection.write(rest);
            if (!rest.hasRemaining()) {
                key.cancel();
            }
            return written > 0;
        } catch (IOException e) {
            // Refused or closed by the server, as it may do with such a client.
            key.cancel();
            return true;
        }
    }
}
