package org.copperspindle.cli;

import java.nio.file.Path;
import java.time.Duration;

import org.copperspindle.soak.Soak;
import org.copperspindle.soak.SoakReport;
import org.copperspindle.soak.SoakSettings;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Short soaks with fixed seeds. They run real processes, so the timing differs from run to run, but the promises must
 * hold at any timing. Every seed that broke a promise is listed here with the cause.
 */
class SoakTest {

    // The logs of a failed soak are kept for analysis.
    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    private Path folder;

    // 101: a stand-in was given the port of a node that was down and answered the operator in its place. Node ports are
    // now outside the kernel's ephemeral range.
    // 7001, 7002: one request crashed all upstreams of a pool, and a frequent request that was still sent to them over
    // kept-alive connections was quarantined in its place.
    // 8003: a node that had just started refused to end an evacuation, since it did not know the failure domain yet.
    // 504: broke nothing; it begins with three dispatchers of short pools that are suspended or killed at once.
    // nothing.
    @ParameterizedTest
    @CsvSource({
        "1, false, false, false, false, false",
        "101, false, false, false, false, false",
        "7001, true, false, false, false, false",
        "7002, true, false, false, false, false",
        "8003, false, true, false, false, false",
        "9001, false, false, true, false, false",
        "504, false, false, false, true, false",
        "11, false, false, false, false, true"
    })
    void promisesAreKeptUnderInjectedFaults(
            long seed, boolean fatal, boolean evacuates, boolean needs, boolean shortage, boolean releases)
            throws Exception {
        SoakSettings settings = new SoakSettings(
                seed,
                Duration.ofSeconds(8),
                shortage ? 5 : 4,
                6,
                folder,
                fatal,
                evacuates,
                needs,
                shortage,
                releases,
                SoakCommand.nodeCommand());
        SoakReport report = Soak.run(settings, line -> {});
        assertThat(report.broken()).as(report.summary()).isEmpty();
        assertThat(report.served()).isPositive();
    }
}
