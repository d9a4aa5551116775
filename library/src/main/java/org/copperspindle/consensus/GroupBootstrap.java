package org.copperspindle.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The part of a member that holds nothing of any group: asks to join, or founds the group together with the other first
 * voters. A group is founded by the first-named voter only, and only once every other voter that the settings name has
 * said, to this very identity, that it holds nothing either. A member whose folder was emptied therefore founds nothing
 * as long as one other member still has its log.
 */
final class GroupFounder {

    private static final Logger LOGGER = LogManager.getLogger(GroupFounder.class);

    private final RaftState state;
    private final Map<String, Heard> heard = new HashMap<>();
    private long askedAt;
    private boolean asked;

    GroupFounder(RaftState state) {
        this.state = state;
    }

    void tick(long now) {
        RaftSettings settings = state.settings();
        if (asked && now - askedAt < settings.timing().resendNanos()) {
            return;
        }
        asked = true;
        askedAt = now;
        JoinRequestMessage request = new JoinRequestMessage(
                settings.groupName(),
                settings.voterNames(),
                founderHeard(),
                settings.self(state.identity()).encode());
        settings.others().forEach(other -> state.send(other.address(), request));
        if (isFounder() && settings.voters().size() == 1) {
            foundIfAllAreFresh(now);
        }
    }

    /** Hears of another member that holds nothing. */
    void receive(JoinRequestMessage request, Member from, long now) {
        if (!request.voters().equals(state.settings().voterNames())) {
            // Members that are found as they come agree after a moment; names from settings never will by themselves.
            LOGGER.log(
                    state.settings().roster().isDynamic() ? Level.DEBUG : Level.ERROR,
                    "event=voters-differ member={} peer={} own={} theirs={}",
                    state.settings().name(),
                    from.name(),
                    state.settings().voterNames(),
                    request.voters());
            return;
        }
        heard.put(from.name(), new Heard(from, request.founder(), now));
        if (isFounder()) {
            foundIfAllAreFresh(now);
        }
    }

    /** Takes part in a group that another member founded with this one. */
    void receive(FoundGroupMessage message) {
        Membership membership = Membership.decode(message.membership());
        if (!membership.hasVoter(state.identity())) {
            LOGGER.warn("event=founding-ignored member={}", state.settings().name());
            return;
        }
        begin(membership, message.group());
    }

    private void foundIfAllAreFresh(long now) {
        long within = 2 * state.settings().timing().resendNanos();
        List<Member> others = new ArrayList<>();
        for (RaftSettings.Voter voter : state.settings().others()) {
            Optional<Heard> known = Optional.ofNullable(heard.get(voter.name()))
                    .filter(h -> h.founder() == state.identity() && now - h.at() < within);
            if (known.isEmpty()) {
                return;
            }
            others.add(known.get().member());
        }
        found(others);
    }

    private void found(List<Member> others) {
        Membership membership =
                Membership.EMPTY.with(state.settings().self(state.identity()).withVoter(true));
        for (Member other : others) {
            membership = membership.with(other.withVoter(true));
        }
        LOGGER.info("event=group-founded member={} voters={}", state.settings().name(), membership);
        begin(membership, state.identity());
    }

    private void begin(Membership membership, long group) {
        state.install(LogSnapshot.founding(membership));
        state.saveHard(state.hard().withGroup(group).withVote(LogSnapshot.FOUNDING_TERM, 0));
    }

    private boolean isFounder() {
        return state.settings().roster().mayBootstrap()
                && firstVoter().filter(state.settings().name()::equals).isPresent();
    }

    private Optional<String> firstVoter() {
        return state.settings().voters().stream().findFirst().map(RaftSettings.Voter::name);
    }

    private long founderHeard() {
        if (isFounder()) {
            return state.identity();
        }
        return firstVoter()
                .flatMap(name -> Optional.ofNullable(heard.get(name)))
                .map(founder -> founder.member().identity())
                .orElse(0L);
    }

    private record Heard(Member member, long founder, long at) {}
}
