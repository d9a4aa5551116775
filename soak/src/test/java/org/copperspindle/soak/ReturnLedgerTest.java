package org.copperspindle.soak;

import org.copperspindle.soak.PromiseBook.Answer;
import org.copperspindle.soak.ReturnLedger.Wait;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The ledger must see streams that are lost while new ones begin, and nothing else.
 */
class ReturnLedgerTest {

    private static final int STREAMS = 12;
    private static final long FROM = 10_000;

    private final ReturnLedger ledger = new ReturnLedger();

    /** Fewer than half of the streams that are taken up go on, while all new ones begin. */
    @Test
    void lostStreamsAreFound() {
        takeUp(STREAMS, 5, 2);
        begin(FROM, true);
        assertThat(ledger.broken()).singleElement().asString().startsWith("lost: 5 of 12");
    }

    /** Streams that go on at other times don't make up for those that are lost after a kill. */
    @Test
    void streamsThatAreLostAfterOneKillAreFound() {
        ledger.killed(FROM - 1);
        takeUp(STREAMS, 0, 2);
        begin(FROM, true);
        ledger.killed(3 * FROM);
        for (int i = 0; i < 2 * STREAMS; i++) {
            Wait wait = new Wait(3 * FROM, false);
            wait.serving(2);
            ledger.ended(wait.succeededAt(3 * FROM + 1));
        }
        begin(3 * FROM, true);
        assertThat(ledger.broken()).singleElement().asString().contains("after the kill at " + (FROM - 1));
    }

    /** No new stream begins either meanwhile: nodes serve nobody, which is not the fault of this ledger. */
    @Test
    void streamsThatShareTheFateOfNewOnesAreNotLost() {
        takeUp(STREAMS, 0, 2);
        begin(FROM, false);
        begin(2 * FROM, true);
        assertThat(ledger.broken()).isEmpty();
    }

    /** A version that one engine serves may be out of reach. */
    @Test
    void streamsOfAVersionThatIsLeavingAreNotJudged() {
        takeUp(STREAMS, 0, 1);
        begin(FROM, true);
        assertThat(ledger.broken()).isEmpty();
    }

    /** Refusals are counted by what callers are told. */
    @Test
    void summaryNamesRefusals() {
        ledger.answered(refusal("origin-unknown"), false);
        ledger.answered(refusal("origin-unknown"), false);
        ledger.answered(refusal("no-lease"), true);
        assertThat(ledger.summary()).contains("new:503:no-lease=1(ms_95=20) taken-up:503:origin-unknown=2(ms_95=20)");
    }

    private static Answer refusal(String reason) {
        return new Answer(503, "{\"reason\":\"" + reason + "\"}", true, true, FROM, 0, FROM, FROM + 20);
    }

    private void takeUp(int count, int goOn, int engines) {
        for (int i = 0; i < count; i++) {
            Wait wait = new Wait(FROM, false);
            wait.serving(engines);
            ledger.ended(i < goOn ? wait.succeededAt(FROM + 1) : wait.failedAt(FROM + 1));
        }
    }

    private void begin(long from, boolean begins) {
        Wait wait = new Wait(from, true);
        ledger.ended(begins ? wait.succeededAt(from + 1) : wait.failedAt(from + 1));
    }
}
