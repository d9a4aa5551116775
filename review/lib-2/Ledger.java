import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** What clients asked for, which results were made for which request, and what was given to whom. */
final class Ledger {

    /** A result of a stage. */
    record Result(String request, int stage, int piece) {}

    final Map<String, Result> results = new ConcurrentHashMap<>();
    final Map<String, int[]> pieces = new ConcurrentHashMap<>();
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    final AtomicInteger mixed = new AtomicInteger();
    final AtomicInteger checked = new AtomicInteger();
    private final Record record;

    Ledger(Record record) {
        this.record = record;
    }

    void asked(String request, int... counts) {
        pieces.put(request, counts);
    }

    /** Checks that a piece or a request was given all results of one stage of its own request, each once. */
    void given(String who, String request, int stage, List<String> handles) {
        checked.incrementAndGet();
        int[] counts = pieces.get(request);
        boolean[] seen = new boolean[counts == null ? 0 : counts[stage]];
        boolean good = counts != null && handles.size() == seen.length;
        for (String handle : handles) {
            Result result = results.get(handle);
            boolean own = result != null && result.request().equals(request) && result.stage() == stage
                    && result.piece() < seen.length && !seen[result.piece()];
            if (own) {
                seen[result.piece()] = true;
            } else {
                record.add("MIXED %s of request %s is given %s, a result of %s", who, request, handle, result);
            }
            good &= own;
        }
        if (!good) {
            mixed.incrementAndGet();
        }
    }

    int ran(String request) {
        return runs.computeIfAbsent(request, id -> new AtomicInteger()).incrementAndGet();
    }
}
