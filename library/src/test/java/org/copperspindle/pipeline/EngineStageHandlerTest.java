package org.copperspindle.pipeline;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class EngineStageHandlerTest {

    private static final String WHOLE = "{\"choices\":[{\"text\":\"a sheet\"}]}";
    private static final String STREAM = "data: {\"choices\":[{\"text\":\"a \"}]}\n\n"
            + "data: {\"choices\":[{\"text\":\"sheet\"}]}\n\ndata: [DONE]\n\n";

    private final EngineStageHandler handler = new EngineStageHandler();

    /**
     * An answer is generated as a stream and lost. After a resend through another entry, the agent returns the kept
     * outcome, which is a stream, to a run that did not request one. Parsed as one JSON document, it was reported as
     * lost with MAY_HAVE_RUN although it was complete.
     */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void keptStreamIsReadWhicheverFormIsAskedFor(boolean streaming) throws Exception {
        StageContext context = context();
        handler.accept(context, bytes(STREAM), "text/event-stream; charset=utf-8", streaming);
        assertThat(context.text()).hasToString("a sheet");
    }

    @Test
    void wholeDocumentIsRead() throws Exception {
        StageContext context = context();
        handler.accept(context, bytes(WHOLE), "application/json", false);
        assertThat(context.text()).hasToString("a sheet");
    }

    /** A truncated kept stream is not a complete answer, in whichever form the resend requests it. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void cutStreamIsRefused(boolean streaming) throws Exception {
        StageContext context = context();
        String cut = STREAM.substring(0, STREAM.indexOf("data: [DONE]"));
        assertThatThrownBy(() -> handler.accept(context, bytes(cut), "text/event-stream", streaming))
                .isInstanceOf(IOException.class);
    }

    private static StageContext context() throws IOException {
        return new StageContext(bytes("{\"input\":\"x\"}"));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
