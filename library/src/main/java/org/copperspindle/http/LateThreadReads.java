package org.copperspindle.http;

import java.util.function.BooleanSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.util.UncheckedBooleanSupplier;

/**
 * Reads a connection until nothing is left while the network thread is late. A read that doesn't fill its buffer would
 * otherwise be the last one of the turn, and a caller that has left would be noticed a turn after its request was handled.
 */
final class LateThreadReads implements RecvByteBufAllocator {

    /** Reads of one connection in a turn, as sockets have by default. */
    private static final int MAX_READS = 16;

    private final RecvByteBufAllocator allocator = new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(MAX_READS);
    private final BooleanSupplier isLate;

    /**
     * Creates an allocator for the connections of one listener.
     *
     * @param isLate returns whether the network thread is late
     */
    LateThreadReads(BooleanSupplier isLate) {
        this.isLate = isLate;
    }

    @Override
    @SuppressWarnings("deprecation") // The contract still names the type that ExtendedHandle replaces.
    public Handle newHandle() {
        return new ReadHandle((ExtendedHandle) allocator.newHandle());
    }

    /** Reads of one connection. */
    private final class ReadHandle implements ExtendedHandle {
        private final ExtendedHandle handle;

        private ReadHandle(ExtendedHandle handle) {
            this.handle = handle;
        }

        @Override
        public boolean continueReading(UncheckedBooleanSupplier mayHaveMore) {
            return handle.continueReading(() -> isLate.getAsBoolean() || mayHaveMore.get());
        }

        @Override
        public boolean continueReading() {
            return isLate.getAsBoolean()
                    ? handle.continueReading(UncheckedBooleanSupplier.TRUE_SUPPLIER)
                    : handle.continueReading();
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator buffers) {
            return handle.allocate(buffers);
        }

        @Override
        public int guess() {
            return handle.guess();
        }

        @Override
        public void reset(ChannelConfig config) {
            handle.reset(config);
        }

        @Override
        public void incMessagesRead(int count) {
            handle.incMessagesRead(count);
        }

        @Override
        public void lastBytesRead(int bytes) {
            handle.lastBytesRead(bytes);
        }

        @Override
        public int lastBytesRead() {
            return handle.lastBytesRead();
        }

        @Override
        public void attemptedBytesRead(int bytes) {
            handle.attemptedBytesRead(bytes);
        }

        @Override
        public int attemptedBytesRead() {
            return handle.attemptedBytesRead();
        }

        @Override
        public void readComplete() {
            handle.readComplete();
        }
    }
}
