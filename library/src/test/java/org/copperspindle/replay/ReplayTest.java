package org.copperspindle.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.copperspindle.config.Deployment;
import org.copperspindle.config.DeploymentLoader;
import org.copperspindle.limits.PolicyKind;
import org.copperspindle.settings.SettingsException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ReplayTest {

    private static final String HEAD = "{\"kind\":\"trace\",\"version\":1,\"name\":\"t\",\"seed\":7,\"entries\":2}\n";
    private static final String LOAD = "{\"kind\":\"load\",\"from_s\":0,\"to_s\":5,\"per_s\":30,\"account\":\"shop\","
            + "\"pipeline\":\"write\",\"prefixes\":9,\"work_ms\":{\"generate\":200}}\n";
    private static final String STALL =
            "{\"kind\":\"fault\",\"from_s\":1,\"to_s\":3,\"effect\":\"stall\"," + "\"pool\":\"engines\",\"count\":1}\n";

    @TempDir
    Path folder;

    @ParameterizedTest
    @EnumSource(PolicyKind.class)
    void sameSeedGivesTheSameReport(PolicyKind kind) throws Exception {
        Trace trace = read(HEAD + LOAD + STALL);

        String first = ReplayReport.of(trace, deployment(), kind).text();

        assertThat(ReplayReport.of(read(HEAD + LOAD + STALL), deployment(), kind)
                        .text())
                .isEqualTo(first);
        assertThat(ReplayReport.of(read(HEAD.replace(":7", ":8") + LOAD + STALL), deployment(), kind)
                        .text())
                .isNotEqualTo(first);
    }

    @Test
    void reportsEachOutcomeThatIsNotMet() throws Exception {
        Trace trace = read(HEAD + LOAD + "{\"kind\":\"outcome\",\"measure\":\"attainment\",\"at_least\":1.01}\n"
                + "{\"kind\":\"outcome\",\"measure\":\"wasted\",\"at_most\":1}\n");

        ReplayReport report = ReplayReport.of(trace, deployment(), PolicyKind.BASELINE);

        assertThat(report.unmet()).singleElement().asString().startsWith("attainment at least 1.01 measured");
        assertThat(report.text()).contains("outcome NOT MET: attainment", "outcome met: wasted");
    }

    @Test
    void everyArrivalIsAnsweredOnceAndCostsAreNotNegative() throws Exception {
        ReplayResult result = Replay.run(read(HEAD + LOAD + STALL), deployment(), PolicyKind.BASELINE);

        int missed =
                result.misses().values().stream().mapToInt(Integer::intValue).sum();
        assertThat(Math.round(result.attainment(r -> true) * result.arrivals()) + missed)
                .isEqualTo(result.arrivals());
        assertThat(result.costPerAttained()).isPositive();
        assertThat(result.wasted()).isBetween(0.0, 1.0);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            {"kind":"trace","version":2}                                                       | :1: this build reads version 1
            {"kind":"load"}                                                                    | :1: the first line
            {"kind":"trace","version":1,"name":"t"}~{"kind":"rain"}                            | :2: unknown kind 'rain'
            {"kind":"trace","version":1,"name":"t"}~{"kind":"fault","effect":"slow","pool":"x"} | :2: unknown pool 'x'
            {"kind":"trace","version":1,"name":"t"}~{"kind                                     | :2: Unexpected end
            """)
    void errorsNameFileAndLine(String lines, String expected) {
        assertThatThrownBy(() -> read(lines.replace('~', '\n')))
                .isInstanceOf(TraceException.class)
                .hasMessageContaining("t.jsonl" + expected);
    }

    private Trace read(String lines) throws IOException, SettingsException {
        return TraceReader.read(Files.writeString(folder.resolve("t.jsonl"), lines), deployment());
    }

    private static Deployment deployment() throws SettingsException {
        return DeploymentLoader.parse("test", """
                [deployment]
                name = test
                failure-domains = north, south
                [pool engines]
                kind = engine
                size = 4
                models = m
                concurrency = 4
                [pipeline write]
                stages = generate
                deadline = 2s
                [stage write/generate]
                pool = engines
                model = m
                [account shop]
                key-sha256 = 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b
                rate-per-second = 1000
                pipelines = write
                """);
    }
}
