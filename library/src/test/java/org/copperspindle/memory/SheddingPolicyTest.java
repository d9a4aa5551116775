package org.copperspindle.memory;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class SheddingPolicyTest {

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long BUDGET = 1000;

    /** A few more than the part of the budget that responses may always take. */
    private static final String MANY_SMALL = "r:9:0:rs r:9:0:rs r:9:0:rs r:9:0:rs r:9:0:rs r:9:0:rs r:9:0:rs r:9:0:rs "
            + "r:9:0:rs r:9:0:rs r:9:0:rs r:9:0:rs r:9:0:rs r:9:0:rs r:9:0:rs r:9:0:rs "
            + "r:9:0:rs r:9:0:rs r:9:0:rs r:9:0:rs r:9:0:rs r:9:0:rs r:9:0:rs r:9:0:rs";

    /**
     * Guards against responses that are broken off while memory suffices, in the wrong order, or more than necessary.
     * A holder is written as name:bytes:unread ms:flags, with r = repeatable, s = started, b = body only.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "below the threshold nothing ends, a:400:9000:rs b:499:8000:rs, ''",
        "only as many as necessary, a:300:9000:s b:300:5000:s c:320:0:s, a",
        "unread longest first, a:450:2000:s b:450:9000:s, b",
        "repeatable before others that are unread as long, a:450:2000:s b:450:2900:rs, b",
        "unread longer counts more than repeatable, a:450:9000:s b:450:2000:rs, a",
        "a caller that reads is spared below the full budget, a:950:900:rs, ''",
        "a caller that reads is not spared by the full budget, a:600:900:s b:500:0:rs, b",
        "not started before started, a:500:0:rs b:500:0:r, b",
        "one that frees hardly anything is spared, a:1040:0:s b:5:0:r, a",
        "small ones end if there are no others, " + MANY_SMALL + " f:1100:0:b, r r",
        "bodies that fill the budget cost no response, a:9:0:rs b:8:0:rs c:1100:0:b, ''",
        "a stalled caller is spared while responses take little, a:100:9000:s b:90:8000:s c:900:0:b, ''",
        "the largest of equals, a:100:0:s b:900:0:s, b",
        "bodies alone are never broken off, a:600:0:b b:600:0:b, ''",
        "a stalled caller ends before one that reads, a:500:0:rs b:600:1500:s, b",
        "both if one is not enough, a:900:0:s b:1200:5000:s c:200:0:rs, b c"
    })
    void breaksOffInOrder(String name, String holders, String expected) {
        Map<MemoryHolder, String> names = new LinkedHashMap<>();
        List<HeldResponse> all = new ArrayList<>();
        for (String text : holders.split(" ")) {
            String[] parts = text.split(":");
            MemoryHolder holder = new MemoryHolder();
            names.put(holder, parts[0]);
            long bytes = Long.parseLong(parts[1]);
            all.add(new HeldResponse(
                    holder,
                    bytes,
                    parts[3].contains("b") ? 0 : bytes,
                    Long.parseLong(parts[2]) * NANOS_PER_MILLI,
                    parts[3].contains("r"),
                    parts[3].contains("s")));
        }
        long sum = all.stream().mapToLong(HeldResponse::bytes).sum();
        List<String> chosen = SheddingPolicy.breakOff(all, sum, BUDGET).stream()
                .map(r -> names.get(r.holder()))
                .toList();
        assertThat(String.join(" ", chosen)).isEqualTo(expected);
    }
}
