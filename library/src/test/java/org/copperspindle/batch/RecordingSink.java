package org.copperspindle.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Takes what a dispatcher hands on.
 */
final class RecordingSink implements PoolDispatcher.ResultSink {

    final List<String> givenUp = new ArrayList<>();
    private final Consumer<PieceResultsMessage> results;

    RecordingSink(Consumer<PieceResultsMessage> results) {
        this.results = results;
    }

    @Override
    public void deliver(String origin, PieceResultsMessage message) {
        results.accept(message);
    }

    @Override
    public void giveUp(List<String> handles) {
        givenUp.addAll(handles);
    }
}
