package org.copperspindle.direct;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

import net.openhft.hashing.LongHashFunction;

/**
 * What the responses on one connection held that no other response may hold, such as the handles of results. A second response
 * to an earlier call, which can only arrive on the connection of that call, is recognised by it. Only digests are kept.
 */
public final class EarlierResponses {

    /** Bounds the memory of a connection; many times what one response holds. */
    private static final int MAX_MARKS = 1024;

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private final Set<Long> marks = new LinkedHashSet<>();

    /**
     * Returns whether an earlier response held one of these marks.
     *
     * @param of marks of a response
     * @return true if it is not the first response that holds all of them
     */
    public boolean heldAny(Collection<String> of) {
        return of.stream().map(HASH::hashChars).anyMatch(marks::contains);
    }

    /**
     * Records the marks of a response. The oldest ones are forgotten beyond a bound.
     *
     * @param of its marks
     */
    public void add(Collection<String> of) {
        of.stream().map(HASH::hashChars).forEach(marks::add);
        Iterator<Long> oldest = marks.iterator();
        for (int spare = marks.size() - MAX_MARKS; spare > 0; spare--) {
            oldest.next();
            oldest.remove();
        }
    }
}
