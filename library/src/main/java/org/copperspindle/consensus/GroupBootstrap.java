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
 * Startup of a member that belongs to no group: asks to join, or bootstraps a group with the other first voters. Only
 * the first voter whose folder dates from the first start of the deployment bootstraps, and only once every other voter
 * has reported, to this identity, that it belongs to no group either. A member whose folder was emptied therefore never
 * bootstraps a second group while one other member still has its log.
 */
final class GroupBootstrap {

    private static final Logger LOGGER = LogManager.getLogger(GroupBootstrap.class);

    /** Election timeouts between two log lines of a member that still waits for a group. */
    private static final int LOG_ELECTION_TIMEOUTS = 2;

    private final RaftState state;
    private final Map<String, ReceivedJoin> joinRequests = new HashMap<>();
    private long joinRequestedAt;
    private boolean joinRequested;
    private long waitLoggedAt;

    GroupBootstrap(RaftState state) {
        this.state = state;
    }

    void tick(long now) {
        RaftSettings settings = state.settings();
        if (joinRequested && now - joinRequestedAt < settings.timing().resendNanos()) {
            return;
        }
        if (!joinRequested) {
            waitLoggedAt = now;
        }
        joinRequested = true;
        joinRequestedAt = now;
        logWait(now);
        JoinRequestMessage request = new JoinRequestMessage(
                settings.groupName(),
                settings.voterNames(),
                knownBootstrapper(),
                settings.self(state.identity()).encode(),
                mayEverBootstrap());
        settings.others().forEach(other -> state.send(other.address(), request));
        if (isBootstrapper() && settings.voters().size() == 1) {
            bootstrapIfAllAreEmpty(now);
        }
    }

    /** Handles the join request of another empty member. */
    void receive(JoinRequestMessage request, Member sender, long now) {
        if (!request.voters().equals(state.settings().voterNames())) {
            // Discovered voter lists become equal after a short time; configured ones never do by themselves.
            LOGGER.log(
                    state.settings().voterSource().isDynamic() ? Level.DEBUG : Level.ERROR,
                    "event=voters-differ member={} peer={} own={} theirs={}",
                    state.settings().name(),
                    sender.name(),
                    state.settings().voterNames(),
                    request.voters());
            return;
        }
        joinRequests.put(sender.name(), new ReceivedJoin(sender, request.bootstrapper(), request.isFirst(), now));
        if (isBootstrapper()) {
            bootstrapIfAllAreEmpty(now);
        }
    }

    /** Joins a group that another member bootstrapped with this one. */
    void receive(BootstrapGroupMessage message) {
        Membership membership = Membership.decode(message.membership());
        if (!membership.hasVoter(state.identity())) {
            LOGGER.warn("event=founding-ignored member={}", state.settings().name());
            return;
        }
        initialize(membership, message.group());
    }

    /** Logs for whom this member waits, from which the reason for a missing group can be told. */
    private void logWait(long now) {
        RaftSettings settings = state.settings();
        if (now - waitLoggedAt < LOG_ELECTION_TIMEOUTS * settings.timing().electionNanos()) {
            return;
        }
        waitLoggedAt = now;
        LOGGER.info(
                "event=no-group-yet member={} voters={} reported={} bootstrapper={} may_bootstrap={}",
                settings.name(),
                settings.voterNames(),
                joinRequests.keySet(),
                bootstrapperName().orElse(""),
                settings.voterSource().mayBootstrap());
    }

    private void bootstrapIfAllAreEmpty(long now) {
        long within = 2 * state.settings().timing().resendNanos();
        List<Member> others = new ArrayList<>();
        for (RaftSettings.Voter voter : state.settings().others()) {
            Optional<ReceivedJoin> known = Optional.ofNullable(joinRequests.get(voter.name()))
                    .filter(h -> h.bootstrapper() == state.identity() && now - h.at() < within);
            if (known.isEmpty()) {
                return;
            }
            others.add(known.get().member());
        }
        bootstrap(others);
    }

    private void bootstrap(List<Member> others) {
        Membership membership =
                Membership.EMPTY.with(state.settings().self(state.identity()).withVoter(true));
        for (Member other : others) {
            membership = membership.with(other.withVoter(true));
        }
        LOGGER.info("event=group-founded member={} voters={}", state.settings().name(), membership);
        initialize(membership, state.identity());
    }

    private void initialize(Membership membership, long group) {
        state.install(LogSnapshot.bootstrap(membership));
        state.saveHard(state.hard().withGroup(group).withVote(LogSnapshot.BOOTSTRAP_TERM, 0));
    }

    private boolean isBootstrapper() {
        return state.settings().voterSource().mayBootstrap()
                && bootstrapperName().filter(state.settings().name()::equals).isPresent();
    }

    /** Returns the first voter that may bootstrap the group; one that has not reported yet may turn out to be able to. */
    private Optional<String> bootstrapperName() {
        return state.settings().voters().stream()
                .map(RaftSettings.Voter::name)
                .filter(this::mayEverBootstrap)
                .findFirst();
    }

    private boolean mayEverBootstrap(String voter) {
        if (voter.equals(state.settings().name())) {
            return mayEverBootstrap();
        }
        return Optional.ofNullable(joinRequests.get(voter))
                .map(ReceivedJoin::isFirst)
                .orElse(true);
    }

    private boolean mayEverBootstrap() {
        return state.hard().isFirst() || state.settings().voterSource().isFirstStart();
    }

    private long knownBootstrapper() {
        if (isBootstrapper()) {
            return state.identity();
        }
        return bootstrapperName()
                .flatMap(name -> Optional.ofNullable(joinRequests.get(name)))
                .map(bootstrapper -> bootstrapper.member().identity())
                .orElse(0L);
    }

    private record ReceivedJoin(Member member, long bootstrapper, boolean isFirst, long at) {}
}
