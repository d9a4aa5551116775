package org.copperspindle.pipeline;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Parses a streamed completion: server-sent events (WHATWG HTML, section 9.2) with one JSON chunk each, ended by
 * {@code [DONE]}. The bytes may be split anywhere, even inside a character.
 */
final class CompletionStream {

    private static final String END_MARK = "[DONE]";
    private static final String DATA = "data:";

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private boolean ended;

    /**
     * Parses the next bytes.
     *
     * @param bytes the next bytes of the stream, split anywhere
     * @return texts of the chunks that these bytes complete
     * @throws IOException if an event is not a completion chunk
     */
    List<String> feed(byte[] bytes) throws IOException {
        List<String> texts = new ArrayList<>();
        for (byte b : bytes) {
            if (b != '\n') {
                line.write(b);
                continue;
            }
            readLine(line.toString(StandardCharsets.UTF_8).strip(), texts);
            line.reset();
        }
        return texts;
    }

    boolean ended() {
        return ended;
    }

    private void readLine(String text, List<String> texts) throws IOException {
        if (!text.startsWith(DATA)) {
            return;
        }
        String data = text.substring(DATA.length()).strip();
        if (data.equals(END_MARK)) {
            ended = true;
            return;
        }
        if (ended) {
            throw new IOException("data after the end mark");
        }
        JsonNode piece =
                StageContext.JSON.readTree(data).path("choices").path(0).path("text");
        if (!piece.isTextual()) {
            throw new IOException("chunk without choices[0].text");
        }
        texts.add(piece.asText());
    }
}
