package org.copperspindle.placement;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * The common load of engines that share additional work so that their loads become equal.
 */
public final class LoadLevel {

    private LoadLevel() {}

    /**
     * Returns the load up to which engines get a part of the work.
     *
     * @param sorted engines by their loads, the lowest first; at least one
     * @param load   returns the load of an engine
     * @param speed  returns how much work raises the load of an engine by one
     * @param amount the work
     * @param <T>    type of the engines
     * @return the common load; at least the lowest one
     */
    public static <T> double of(List<T> sorted, ToDoubleFunction<T> load, ToDoubleFunction<T> speed, double amount) {
        double lowest = load.applyAsDouble(sorted.get(0));
        double level = lowest;
        double speeds = 0;
        double weighted = 0;
        for (T engine : sorted) {
            double own = load.applyAsDouble(engine);
            if (speeds > 0 && own > level) {
                break;
            }
            speeds += speed.applyAsDouble(engine);
            weighted += speed.applyAsDouble(engine) * own;
            level = (amount + weighted) / speeds;
        }
        // Rounding must not exclude the engine with the lowest load.
        return Math.max(level, lowest);
    }
}
