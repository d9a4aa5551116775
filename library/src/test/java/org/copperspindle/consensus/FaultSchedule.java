package org.copperspindle.consensus;

import java.util.Optional;

import org.copperspindle.consensus.SimulatedGroup.SimulatedMember;

/**
 * Random faults in a group: links cut in one or both directions, crashes, and lost disks, one disk at a time. A second
 * disk is lost only after the group's own log shows that the first one's repair is complete.
 */
final class FaultSchedule {

    private final SimulatedGroup group;
    private Optional<SimulatedMember> diskLost = Optional.empty();

    FaultSchedule(SimulatedGroup group) {
        this.group = group;
    }

    void run(int number) {
        group.time.advance(group.random.nextLong(20 * SimulatedGroup.MILLI));
        SimulatedMember member = group.member(group.random.nextInt(group.members.size()));
        member.propose("p" + number);
        if (diskLost.isPresent() && repaired(diskLost.get())) {
            diskLost = Optional.empty();
        }
        switch (group.random.nextInt(60)) {
            case 0 -> crash(member);
            case 1 -> group.isolate(member);
            case 2 -> group.cutLinks.add(member.name + ">m" + group.random.nextInt(group.members.size()));
            case 3, 4, 5, 6 -> group.cutLinks.clear();
            case 7 -> loseDisk(member);
            case 8 -> group.leading().ifPresent(this::crash);
            case 9 -> group.leading().ifPresent(group::isolate);
            default -> {
                if (group.random.nextInt(20) == 0) {
                    group.members.stream().filter(m -> m.node == null).forEach(SimulatedMember::start);
                }
            }
        }
    }

    void heal() {
        group.cutLinks.clear();
        group.loss = 0;
        group.members.stream().filter(m -> m.node == null).forEach(SimulatedMember::start);
    }

    private void crash(SimulatedMember member) {
        if (member.node != null) {
            member.crash();
        }
    }

    private void loseDisk(SimulatedMember member) {
        if (diskLost.isPresent() || member.node == null) {
            return;
        }
        diskLost = Optional.of(member);
        member.crash();
        member.loseDisk();
        member.start();
    }

    private boolean repaired(SimulatedMember member) {
        return member.node != null
                && group.members.stream()
                        .filter(m -> m.node != null)
                        .anyMatch(m -> m.leads()
                                && m.node.membership().hasVoter(member.node.identity())
                                && m.node.log().membershipIndex() <= m.node.commit());
    }
}
