package org.copperspindle.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamDirectoryTest {

    private static final long SECOND = 1_000_000_000L;

    private final UpstreamDirectory directory = new UpstreamDirectory();
    private long now;

    /**
     * An upstream says that it drains; an announcement from before, held up on a slow link, arrives after it. The upstream
     * must get nothing new.
     */
    @ParameterizedTest
    @CsvSource({"3, false", "5, true"})
    void lateAnnouncementDoesNotUndoADrain(long lateSequence, boolean readyAgain) {
        hear("a", "10.0.0.1:1", UpstreamPhase.READY, 2, 0);
        hear("a", "10.0.0.1:1", UpstreamPhase.DRAINING, 4, 0);
        hear("a", "10.0.0.1:1", UpstreamPhase.READY, lateSequence, 0);
        assertThat(directory.ready("p").isEmpty()).isEqualTo(!readyAgain);
    }

    /** Guards against a notice to leave that comes late to a node, after an announcement with a higher number. */
    @Test
    void noticeToLeaveIsNeverLate() {
        live("e", 1, UpstreamPhase.READY, 5);
        assertThat(live("e", 1, UpstreamPhase.LEAVING, 4)).isEqualTo(DirectoryChange.CHANGED);
        assertThat(directory.ready("p")).isEmpty();
    }

    /** Guards against an announcement, late or of a process that has not got round to it, that undoes a notice to leave. */
    @Test
    void upstreamThatSaidItLeavesStaysAway() {
        live("e", 1, UpstreamPhase.READY, 1);
        assertThat(directory.leaving("e", now)).map(UpstreamRecord::phase).contains(UpstreamPhase.LEAVING);
        assertThat(directory.leaving("e", now)).isEmpty();
        live("e", 1, UpstreamPhase.READY, 2);
        assertThat(directory.ready("p")).isEmpty();
        assertThat(directory.find("e")).isPresent();
        live("e", 2, UpstreamPhase.READY, 1);
        assertThat(directory.ready("p")).extracting(UpstreamRecord::incarnation).containsExactly(2L);
    }

    @Test
    void upstreamThatLeftNeverComesBack() {
        hear("a", "10.0.0.1:1", UpstreamPhase.READY, 2, 0);
        assertThat(directory.leave("a", 0, "deregistered", now)).isPresent();
        assertThat(hear("a", "10.0.0.1:1", UpstreamPhase.READY, 9, 0)).isEqualTo(DirectoryChange.NONE);
        assertThat(directory.ready("p")).isEmpty();
        assertThat(directory.leave("a", 0, "deregistered", now)).as("told once").isEmpty();
    }

    /** Another node heard of it, and passes on that it left: this node must not take up a late announcement. */
    @Test
    void upstreamThatLeftBeforeItWasHeardStaysAway() {
        directory.leave("a", 0, "deregistered", now);
        assertThat(hear("a", "10.0.0.1:1", UpstreamPhase.READY, 1, 0)).isEqualTo(DirectoryChange.NONE);
    }

    /**
     * An upstream crashes behind a cut, and its successor registers at the same address. Then an announcement of the dead
     * one gets through. It takes the address for a moment; the next announcement of the living one takes it back.
     */
    @Test
    void addressGoesBackToTheUpstreamThatIsHeard() {
        hear("old", "10.0.0.1:1", UpstreamPhase.READY, 2, 0);
        now += SECOND;
        hear("new", "10.0.0.1:1", UpstreamPhase.READY, 1, 0);
        assertThat(readyIds()).containsExactly("new");
        now += SECOND;
        hear("old", "10.0.0.1:1", UpstreamPhase.READY, 3, 0);
        now += SECOND;
        hear("new", "10.0.0.1:1", UpstreamPhase.READY, 2, 0);
        assertThat(readyIds()).containsExactly("new");
        assertThat(directory.findByAddress("10.0.0.1:1"))
                .map(UpstreamRecord::id)
                .hasValue("new");
    }

    /** A node that comes back passes on what it heard long ago; what was heard since goes before it. */
    @Test
    void olderNewsOfAnotherNodeDoesNotTakeAnAddress() {
        now = 20 * SECOND;
        hear("new", "10.0.0.1:1", UpstreamPhase.READY, 1, 0);
        hear("old", "10.0.0.1:1", UpstreamPhase.READY, 7, 9000);
        assertThat(readyIds()).containsExactly("new");
    }

    /**
     * An upstream crashes and starts again under its id: its announcements count from one. It must be used at once, not only
     * when it has announced itself as often as before; what is held up of the former life changes nothing.
     */
    @Test
    void restartUnderTheSameIdIsANewUpstream() {
        live("a", 1000, UpstreamPhase.READY, 40);
        assertThat(live("a", 2000, UpstreamPhase.READY, 1)).isEqualTo(DirectoryChange.CHANGED);
        assertThat(live("a", 1000, UpstreamPhase.DRAINING, 41)).isEqualTo(DirectoryChange.NONE);
        assertThat(live("a", 1000, UpstreamPhase.GONE, 42)).isEqualTo(DirectoryChange.NONE);
        assertThat(directory.leave("a", 1000, "deregistered", now)).isEmpty();
        assertThat(live("a", 2000, UpstreamPhase.READY, 2)).isEqualTo(DirectoryChange.REFRESHED);
        assertThat(readyIds()).containsExactly("a");
    }

    /**
     * An upstream leaves and starts again under its id. Its new life is used; announcements of the one that left, which says
     * no more than its number, stay without effect, in whichever order they come.
     */
    @ParameterizedTest
    @CsvSource({"1000, 41, false", "1000, 999, false", "0, 999, false", "2000, 1, true"})
    void idThatLeftComesBackOnlyWithALaterLife(long incarnation, long sequence, boolean back) {
        live("a", 1000, UpstreamPhase.READY, 40);
        assertThat(directory.leave("a", 1000, "deregistered", now)).isPresent();
        live("a", incarnation, UpstreamPhase.READY, sequence);
        assertThat(directory.ready("p").isEmpty()).isEqualTo(!back);
    }

    /** The end of a later life is heard before its start, from another node: what comes late of its start changes nothing. */
    @Test
    void endOfALifeThatWasNotHeardHoldsForIt() {
        live("a", 1000, UpstreamPhase.READY, 40);
        assertThat(directory.leave("a", 2000, "deregistered", now)).isPresent();
        assertThat(readyIds()).isEmpty();
        assertThat(live("a", 2000, UpstreamPhase.READY, 1)).isEqualTo(DirectoryChange.NONE);
        assertThat(live("a", 3000, UpstreamPhase.READY, 1)).isEqualTo(DirectoryChange.CHANGED);
    }

    /** A restart at another address under the same id: the former address may belong to someone else by now. */
    @Test
    void newLifeGivesItsFormerAddressUp() {
        hear("a", "10.0.0.1:1", UpstreamPhase.READY, 1, 0);
        hear("a", "10.0.0.2:1", UpstreamPhase.READY, 2, 0);
        assertThat(directory.findByAddress("10.0.0.1:1")).isEmpty();
        assertThat(directory.findByAddress("10.0.0.2:1")).isPresent();
    }

    @Test
    void silentUpstreamsAreForgotten() {
        hear("a", "10.0.0.1:1", UpstreamPhase.READY, 1, 0);
        directory.leave("b", 0, "deregistered", now);
        now += 61 * SECOND;
        hear("c", "10.0.0.3:1", UpstreamPhase.READY, 1, 0);
        directory.forgetSilent(now);
        assertThat(directory.all(now)).map(UpstreamRecord::id).containsExactly("c");
    }

    @Test
    void repeatedAnnouncementIsARefresh() {
        assertThat(hear("a", "10.0.0.1:1", UpstreamPhase.READY, 1, 0)).isEqualTo(DirectoryChange.CHANGED);
        assertThat(hear("a", "10.0.0.1:1", UpstreamPhase.READY, 2, 0)).isEqualTo(DirectoryChange.REFRESHED);
        now += 3 * SECOND;
        assertThat(directory.silenceNanos("a", now)).isEqualTo(3 * SECOND);
    }

    private List<String> readyIds() {
        return directory.ready("p").stream().map(UpstreamRecord::id).toList();
    }

    /** An operator evacuates a failure domain: its upstreams get nothing, and get work again once that has ended. */
    @Test
    void upstreamsOfAnEvacuatedDomainAreNotReady() {
        List<String> told = new ArrayList<>();
        hear("a", "10.0.0.1:1", UpstreamPhase.READY, 1, 0);
        directory.subscribe(news -> told.add(news.id()));
        directory.evacuate(Set.of("d"), now);
        assertThat(directory.ready("p")).isEmpty();
        hear("b", "10.0.0.2:1", UpstreamPhase.READY, 1, 0);
        assertThat(directory.ready("p")).as("one that starts meanwhile").isEmpty();
        directory.evacuate(Set.of("other"), now);
        assertThat(readyIds()).containsExactlyInAnyOrder("a", "b");
        assertThat(told).containsExactly("a", "b", "a", "b");
    }

    /**
     * An upstream says for how long it stays cold. What counts is when it said so: a record that was passed on late says less, and
     * an announcement in between that repeats it is no news to pass on at once.
     */
    @ParameterizedTest
    @CsvSource({"0, 2999, true", "0, 3000, false", "2000, 999, true", "2000, 1000, false"})
    void coldnessEndsCountedFromWhenItWasStated(long ageMillis, long laterMillis, boolean cold) {
        UpstreamRecord news =
                new UpstreamRecord("a", 0, "p", "10.0.0.1:1", "d", UpstreamPhase.READY, 4, 1, ageMillis, 3000);
        directory.accept(news, now);
        assertThat(directory.isCold(news, now + laterMillis * 1_000_000L)).isEqualTo(cold);
    }

    @Test
    void becomingColdOrWarmIsNewsAndTheRestOfTheTimeIsNot() {
        assertThat(hearCold(1, 0)).isEqualTo(DirectoryChange.CHANGED);
        assertThat(hearCold(2, 3000)).isEqualTo(DirectoryChange.CHANGED);
        assertThat(hearCold(3, 1800)).isEqualTo(DirectoryChange.REFRESHED);
        assertThat(hearCold(4, 0)).isEqualTo(DirectoryChange.CHANGED);
    }

    /**
     * Upstreams become cold in the moment in which their failure domain is used again, and their last announcement was made before.
     * They count as cold until they can't be any more, whatever they say meanwhile.
     */
    @Test
    void upstreamsOfADomainThatIsUsedAgainCountAsCold() {
        directory.setColdTimes(Map.of("p", 3 * SECOND));
        hear("a", "10.0.0.1:1", UpstreamPhase.READY, 1, 0);
        UpstreamRecord news = directory.find("a").orElseThrow();
        assertThat(directory.isCold(news, now)).isFalse();
        directory.evacuate(Set.of("d"), now);
        directory.evacuate(Set.of(), now);
        hear("a", "10.0.0.1:1", UpstreamPhase.READY, 2, 0);
        assertThat(directory.isCold(news, now + 2 * SECOND)).isTrue();
        assertThat(directory.isCold(news, now + 3 * SECOND)).isFalse();
    }

    private DirectoryChange hearCold(long sequence, long coldMillis) {
        return directory.accept(
                new UpstreamRecord("c", 0, "p", "10.0.0.3:1", "d", UpstreamPhase.READY, 4, sequence, 0, coldMillis),
                now);
    }

    private DirectoryChange hear(String id, String address, UpstreamPhase phase, long sequence, long ageMillis) {
        return directory.accept(new UpstreamRecord(id, 0, "p", address, "d", phase, 4, sequence, ageMillis, 0), now);
    }

    private DirectoryChange live(String id, long incarnation, UpstreamPhase phase, long sequence) {
        return directory.accept(
                new UpstreamRecord(id, incarnation, "p", "10.0.0.1:1", "d", phase, 4, sequence, 0, 0), now);
    }
}
