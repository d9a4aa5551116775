package org.copperspindle.gateway;

import java.util.HashSet;
import java.util.Set;

import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamEligibilityTest {

    private final Set<String> recorded = new HashSet<>();
    private final UpstreamEligibility eligibility =
            new UpstreamEligibility(upstream -> !upstream.id().equals("quarantined"));

    /**
     * A stream that is taken up goes to upstreams of its version; they may send it events only once the version is recorded,
     * and a request waits for nothing else.
     */
    @ParameterizedTest
    @CsvSource({
        "u, v1, '', '', false, true",
        "u, v1, v1, '', true, false",
        "u, v1, '', v1, false, true",
        "u, v1, v1, v1, true, false",
        "u, v1, v1, v2, false, false",
        "u, v1, '', v2, false, false",
        "tried, v1, '', '', false, false",
        "tried, v1, v1, '', false, false",
        "quarantined, v1, '', '', false, false",
    })
    void streamsBeginAndGoOnAtRecordedVersions(
            String id, String software, String inUse, String required, boolean eligible, boolean awaited) {
        recorded.add(inUse);
        eligibility.beginOnlyAt(
                upstream -> recorded.contains(upstream.software().text()));
        eligibility.exclude("tried");
        if (!required.isEmpty()) {
            eligibility.require(SoftwareVersion.of(required));
        }
        UpstreamRecord upstream = upstream(id, software);
        assertThat(eligibility.test(upstream)).isEqualTo(eligible);
        assertThat(eligibility.isAwaited(upstream)).isEqualTo(awaited);
        assertThat(eligibility.isExpected(upstream)).isEqualTo(eligible || awaited);
    }

    private static UpstreamRecord upstream(String id, String software) {
        return new UpstreamRecord(
                id, 0, "p", "10.0.0.1:1", "d", UpstreamPhase.READY, 1, 1, 0, 0, SoftwareVersion.of(software));
    }
}
