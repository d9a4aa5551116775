package org.copperspindle.dialect;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.copperspindle.route.Route;
import org.copperspindle.route.RouteKind;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.RouteTableResult;
import org.copperspindle.route.WeightedPool;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class StandardTableReaderTest {

    private static final String TABLE = """
            [table]
            version = 7
            [account editors]
            keys = k1, k2
            rank = 1
            weight = 2.5
            [account readers]
            keys = k3
            [pool engines]
            engine-slots = 64
            [pool spare]
            [pool encoders]
            pieces-in-a-call = 12
            call-time = 240ms
            piece-time = 17ms
            result-memory = 14MiB
            result-kept = 4s
            [route review]
            host = h
            path-prefix = /review/
            kind = stream
            timeout = 20s
            objective = 2s
            pools = engines:90, spare:10
            resumable = true
            longest-pause = 200ms
            [stage review/0]
            pool = encoders
            result-size = 8KiB
            [stage review/1]
            pool = encoders
            after = 0
            result-size = 6KiB
            """;

    @Test
    void readsATable() {
        RouteTableResult result = new StandardTableReader().read(TABLE.getBytes(StandardCharsets.UTF_8));
        assertThat(result).isInstanceOf(RouteTableResult.Valid.class);
        RouteTable table = ((RouteTableResult.Valid) result).table();
        assertThat(table.version()).isEqualTo(7);
        assertThat(table.isKeyed()).isTrue();
        assertThat(table.findAccount("k1").orElseThrow().weight()).isEqualTo(2.5);
        assertThat(table.findAccount("k3").orElseThrow().weight()).isEqualTo(1);
        Route route = table.findRoute("h", "/review/x").orElseThrow();
        assertThat(route.kind()).isEqualTo(RouteKind.STREAM);
        assertThat(route.pools()).isEqualTo(List.of(new WeightedPool("engines", 90), new WeightedPool("spare", 10)));
        assertThat(route.stages()).hasSize(2);
        assertThat(route.stages().get(1).after()).containsExactly(0);
        assertThat(table.findPool("encoders").orElseThrow().batchLimits()).isPresent();
        assertThat(table.findPool("engines").orElseThrow().engineSlots()).hasValue(64);
    }

    /** One invalid value rejects the whole table, and the message tells the operator where it is. */
    @ParameterizedTest
    @CsvSource({
        "version = 7, version = x, version",
        "timeout = 20s, timeout = 0s, review",
        "weight = 2.5, weight = 0, weight",
        "weight = 2.5, weight = -1, weight",
        "weight = 2.5, weight = NaN, weight",
        "engines:90, engines:x, pools",
        "engines:90, nowhere:90, nowhere",
        "after = 0, after = 5, stage 1",
        "after = 0, after = 1, circle",
        "kind = stream, kind = river, kind",
        "resumable = true, resumeable = true, resumeable",
        "[pool spare], [pond spare], pond"
    })
    void rejectsAnInvalidTableAsAWhole(String valid, String invalid, String named) {
        RouteTableResult result =
                new StandardTableReader().read(TABLE.replace(valid, invalid).getBytes(StandardCharsets.UTF_8));
        assertThat(result).isInstanceOf(RouteTableResult.Invalid.class);
        assertThat(((RouteTableResult.Invalid) result).problem()).contains(named);
    }
}
