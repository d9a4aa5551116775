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
     * A teacher's sheet is generated as a stream and the answer is lost; resent through another entry, the agent hands
     * over the kept outcome, which is a stream, to a run that did not ask for one. Read as one JSON document it was
     * reported lost, MAY_HAVE_RUN, though it was whole.
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

    /** A kept stream that was cut is no whole answer, in whichever form the resend asks for it. */
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
