package org.copperspindle.emulator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * The fakes bring about the faults that tests ask of them, and their ledger counts what ran.
 */
class FakeUpstreamTest {

    private static final String PROMPT = "{\"prompt\":\"doc\\nhello token=t1\",\"max_tokens\":6,\"stream\":%s}";

    private final ExecutionLedger ledger = new ExecutionLedger();
    private final HttpClient http = HttpClient.newHttpClient();
    private final FakeUpstream engine = new FakeUpstream(
            new FakeSettings(
                    FakeKind.ENGINE,
                    new InetSocketAddress("127.0.0.1", 0),
                    1,
                    Duration.ofMillis(1),
                    Duration.ofMillis(1),
                    64,
                    true),
            ledger);

    @AfterEach
    void close() {
        engine.close();
    }

    @ParameterizedTest
    @CsvSource({"false", "true"})
    void healthyEngineAnswersWithAsManyWordsAsAsked(boolean stream) throws Exception {
        HttpResponse<String> response = call(stream);

        assertThat(response.body()).contains("w5").doesNotContain("w6");
        assertThat(response.body().contains("[DONE]")).isEqualTo(stream);
        assertThat(response.headers().firstValue(FakeCall.LOAD_HEADER)).isPresent();
        assertThat(ledger.count(FakeKind.ENGINE, "t1")).isEqualTo(1);
        assertThat(ledger.byRequest()).containsEntry("r1", 1);
    }

    /** Nodes read three or four figures from responses of any kind, also from refusals. */
    @ParameterizedTest
    @CsvSource({"0, 200,", "3, 200, '1,0,1'", "4, 200, '1,0,1,250'", "4, 503, '0,0,1,250'"})
    void responsesStateTheLoadInFigures(int figures, int status, String expected) throws Exception {
        engine.load(new FakeLoad(250, figures));
        engine.faults(status == 200 ? FakeFaults.NONE : FakeFaults.refusing());

        HttpResponse<String> response = call(false);

        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(response.headers().firstValue(FakeCall.FIGURES_HEADER)).isEqualTo(Optional.ofNullable(expected));
    }

    /** The pace that is stated is the one at which the fake works. */
    @Test
    void slowedUpstreamTakesLonger() throws Exception {
        engine.load(new FakeLoad(10_000, 4));

        call(false);

        assertThat(engine.usage().busy()).isGreaterThanOrEqualTo(Duration.ofMillis(100));
    }

    /**
     * A stream that was cut after two words is resumed with the prompt and those words: the engine gives the rest, and the
     * ledger counts it under the caller's token.
     */
    @Test
    void engineGoesOnWhereThePromptEnds() throws Exception {
        String body = "{\"prompt\":\"doc\\nhello token=t1echo: hello \",\"max_tokens\":4}";

        String answer =
                http.send(request(body), HttpResponse.BodyHandlers.ofString()).body();

        assertThat(answer).contains("\"text\":\"token=t1 w3 w4 w5\"");
        assertThat(ledger.count(FakeKind.ENGINE, "t1")).isEqualTo(1);
    }

    @ParameterizedTest
    @EnumSource(
            value = ResponseFault.class,
            names = {"RESET_IN_THE_MIDDLE", "TRUNCATE"})
    void cutAnswersFailAtTheCaller(ResponseFault fault) {
        engine.faults(FakeFaults.spoiling(fault));

        assertThatThrownBy(() -> call(true)).isInstanceOf(IOException.class);
        assertThatThrownBy(() -> call(false)).isInstanceOf(IOException.class);
        assertThat(ledger.count(FakeKind.ENGINE, "t1")).isEqualTo(2);
    }

    @Test
    void streamsLoseOrDoubleWhatTheFaultSays() throws Exception {
        engine.faults(FakeFaults.spoiling(ResponseFault.NO_END_MARK));
        assertThat(call(true).body()).contains("w5").doesNotContain("[DONE]");
        engine.faults(FakeFaults.spoiling(ResponseFault.DOUBLE));
        assertThat(call(true).body().split("\\[DONE]")).hasSize(3);
    }

    @Test
    void refusedCallsAreNotRunAndFailingOnesAre() throws Exception {
        put("{\"draining\":true}");
        assertThat(call(false).statusCode()).isEqualTo(503);
        assertThat(ledger.count(FakeKind.ENGINE, "t1")).isZero();
        put("{\"errorStatus\":500}");
        assertThat(call(false).statusCode()).isEqualTo(500);
        assertThat(ledger.count(FakeKind.ENGINE, "t1")).isEqualTo(1);
    }

    @Test
    void callsBeyondItsConcurrencyWaitAndAllRun() {
        List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            calls.add(http.sendAsync(request(false), HttpResponse.BodyHandlers.ofString()));
        }

        assertThat(calls).allSatisfy(c -> assertThat(c.join().statusCode()).isEqualTo(200));
        assertThat(ledger.count(FakeKind.ENGINE, "t1")).isEqualTo(5);
        assertThat(engine.usage().calls()).isEqualTo(5);
        assertThat(engine.usage().busy()).isPositive();
    }

    private HttpResponse<String> call(boolean stream) throws Exception {
        return http.send(request(stream), HttpResponse.BodyHandlers.ofString());
    }

    private void put(String faults) throws Exception {
        HttpRequest put = HttpRequest.newBuilder(uri("/emulator/faults"))
                .PUT(HttpRequest.BodyPublishers.ofString(faults))
                .build();
        assertThat(http.send(put, HttpResponse.BodyHandlers.ofString()).statusCode())
                .isEqualTo(200);
    }

    private HttpRequest request(boolean stream) {
        return request(String.format(PROMPT, stream));
    }

    private HttpRequest request(String body) {
        return HttpRequest.newBuilder(uri("/v1/completions"))
                .version(HttpClient.Version.HTTP_1_1)
                .header("X-Request-Id", "r1")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private URI uri(String path) {
        return URI.create("http://127.0.0.1:" + engine.address().getPort() + path);
    }
}
