package org.copperspindle.cli;

import java.io.IOException;
import java.net.InetSocketAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What a process must keep to while a crowd is there and after it has left.
 */
final class ProcessBounds {

    /** Memory that the settings give the process, in kilobytes. */
    static final long MEMORY_KILOBYTES = 160 << 10;

    /** Descriptors that the settings give the process. */
    static final int DESCRIPTORS = 1000;

    /** Connections to upstreams and other nodes that an ordinary request may have opened. */
    private static final int OTHER_DESCRIPTORS = 16;

    private ProcessBounds() {}

    /** Has a crowd send, and an ordinary caller call while it is there and after it has left. */
    static void checkUnder(
            CrowdKind kind, DaemonProcess process, InetSocketAddress callers, String start, String ordinaryBody)
            throws IOException {
        checkUnder(kind.clients(), kind.bytesAfter(start), process, callers, start, ordinaryBody);
    }

    /** Does the same with clients that all send these bytes. */
    static void checkUnder(
            int clients,
            byte[] bytes,
            DaemonProcess process,
            InetSocketAddress callers,
            String start,
            String ordinaryBody)
            throws IOException {
        long before = process.descriptors();
        try (ClientCrowd crowd = new ClientCrowd(callers, clients, bytes)) {
            crowd.send();
            assertThat(process.isAlive()).as(process.lastLines()).isTrue();
            assertThat(process.descriptors()).isLessThanOrEqualTo(DESCRIPTORS);
            RawCall.untilServed("served beside the crowd", process, callers, start, ordinaryBody);
        }
        RawCall.untilServed("served after the crowd", process, callers, start, ordinaryBody);
        RawCall.until("descriptors closed", process, () -> descriptors(process) <= before + OTHER_DESCRIPTORS);
        checkMemory(process);
    }

    /** Checks that the process lives, and that it never took more memory than its settings give it. */
    static void checkMemory(DaemonProcess process) throws IOException {
        assertThat(process.isAlive()).as(process.lastLines()).isTrue();
        assertThat(process.peakKilobytes()).isLessThanOrEqualTo(MEMORY_KILOBYTES);
    }

    private static long descriptors(DaemonProcess process) {
        try {
            return process.descriptors();
        } catch (IOException e) {
            throw new AssertionError("the process has ended", e);
        }
    }
}
