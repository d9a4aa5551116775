package org.copperspindle.emulator;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.copperspindle.emulator.ScriptedUpstream.Script;

/**
 * Streams of an upstream that writes the version of its software into each event. A request whose path ends in
 * {@code /hold} gets two events and keeps its connection; any other gets the rest of the stream and its end.
 */
public final class VersionedStream implements Script {

    /** Number of the last event of a stream. */
    public static final int LAST_EVENT = 6;

    private static final int HELD_EVENTS = 2;
    private static final String DATA = "data: ";

    private final String version;

    /**
     * Creates the script of an upstream.
     *
     * @param version version of its software, without spaces
     */
    public VersionedStream(String version) {
        this.version = version;
    }

    @Override
    public void answer(int number, ScriptedRequest request, Socket connection, OutputStream out) throws IOException {
        String after = request.field("last-event-id");
        boolean holds = request.uri().endsWith("/hold");
        int first = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
        int last = holds ? first + HELD_EVENTS - 1 : LAST_EVENT;
        StringBuilder answer = new StringBuilder(ScriptedStream.head(request));
        for (int id = first; id <= last; id++) {
            answer.append(ScriptedStream.chunk("id: " + id + '\n' + DATA + version + "\n\n"));
        }
        if (!holds) {
            answer.append("0\r\n\r\n");
        }
        out.write(answer.toString().getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /**
     * Returns the versions that wrote a body.
     *
     * @param body the body, or what came of it
     * @return the version of each whole line of data, in order
     */
    public static List<String> versions(String body) {
        return body.lines()
                .filter(line -> line.startsWith(DATA))
                .map(line -> line.substring(DATA.length()))
                .toList();
    }
}
