package org.copperspindle.memory;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class RequestAdmissionPolicyTest {

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long KILOBYTE = 1 << 10;
    private static final long BUDGET = 1000 * KILOBYTE;
    private static final String REFUSED = "refused";

    /**
     * Guards against requests that together exceed the budget, legal requests that are refused alone, ordinary ones that a few
     * large ones keep out, and the wrong order of those that give way. A holder is written as name:kilobytes:stalled ms:flags,
     * with a = arriving, h = handled.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "alone, '', 700, 0, ''",
        "alone and larger than the budget, '', 1500, 0, ''",
        "beside little, x:100:0:h, 1500, 0, ''",
        "large beside large, x:400:0:h, 300, 0, ''",
        "large over its share, x:400:0:h, 301, 0, refused",
        "large while responses take the budget, x:400:0:h, 100, 501, refused",
        "small over the share of large ones, x:700:0:h, 64, 0, ''",
        "small beside a budget full of large ones, x:1000:0:h y:60:0:h, 64, 0, ''",
        "small over both of its shares, x:800:0:h y:60:0:h z:60:0:h u:60:0:h, 64, 0, refused",
        "stalled gives way, x:400:1000:a, 301, 0, x",
        "stalled before larger, x:350:0:a y:310:1000:a, 100, 0, y",
        "largest first, x:300:0:a y:350:0:a, 200, 0, y",
        "as many as necessary, x:300:1000:a y:350:1000:a, 680, 0, y x",
        "sends and holds less, x:400:999:a, 401, 0, refused",
        "the larger of two that send gives way, x:402:0:a, 401, 0, x",
        "handled never gives way, x:402:5000:h, 401, 0, refused",
        "none gives way in vain, x:600:0:h y:50:2000:a, 200, 0, refused",
        "small makes large give way, x:500:0:a y:300:0:a z:60:0:h u:60:0:h v:60:0:h, 64, 0, x"
    })
    void admitsInOrder(String name, String holders, long kilobytes, long responseKilobytes, String expected) {
        Map<MemoryHolder, String> names = new LinkedHashMap<>();
        List<HeldRequest> all = new ArrayList<>();
        for (String text : holders.isEmpty() ? new String[0] : holders.split(" ")) {
            String[] parts = text.split(":");
            MemoryHolder holder = new MemoryHolder();
            names.put(holder, parts[0]);
            all.add(new HeldRequest(
                    holder,
                    Long.parseLong(parts[1]) * KILOBYTE,
                    parts[3].equals("a"),
                    Long.parseLong(parts[2]) * NANOS_PER_MILLI));
        }
        Optional<List<HeldRequest>> rejected =
                RequestAdmissionPolicy.admit(all, kilobytes * KILOBYTE, responseKilobytes * KILOBYTE, BUDGET);
        String result = rejected.map(list -> String.join(
                        " ", list.stream().map(r -> names.get(r.holder())).toList()))
                .orElse(REFUSED);
        assertThat(result).isEqualTo(expected);
    }
}
