package org.copperspindle.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class RateSharesTest {

    /** Demands are arbitrary, including zero and negative ones. The account must never get more than its rate. */
    @Property(seed = "21", tries = 500)
    void sumNeverExceedsTheRateAndNoEntryFallsBelowItsFloor(
            @ForAll @DoubleRange(min = 0.01, max = 1e6) double rate,
            @ForAll @Size(min = 1, max = 50) List<@DoubleRange(min = -10, max = 1e6) Double> demands) {
        Map<String, Double> demand = new HashMap<>();
        demands.forEach(entryDemand -> demand.put("e" + demand.size(), entryDemand));

        Map<String, Double> shares = RateShares.split(rate, demand);

        double sum = shares.values().stream().mapToDouble(Double::doubleValue).sum();
        assertThat(sum).isLessThanOrEqualTo(rate * (1 + 1e-9)).isCloseTo(rate, within(rate * 1e-9));
        double floor = RateShares.floor(rate, demand.size());
        assertThat(shares.values()).allMatch(share -> share >= floor * (1 - 1e-9));
        assertThat(floor * demand.size()).isLessThanOrEqualTo(rate * (1 + 1e-9));
    }
}
