package org.copperspindle.consensus;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import org.copperspindle.control.ProposalResult;
import org.copperspindle.disk.LogFile;
import org.copperspindle.loopback.LoopbackHost;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests three members with real sockets and files.
 */
class ConsensusLogTest {

    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

    @TempDir
    private Path data;

    private final Set<String> partitioned = ConcurrentHashMap.newKeySet();
    private final List<VoterAddress> voters = new ArrayList<>();
    private final List<SocketMember> members = new ArrayList<>();

    @BeforeEach
    void startMembers() throws IOException {
        LoopbackHost host = LoopbackHost.open();
        for (int i = 1; i <= 3; i++) {
            voters.add(new VoterAddress("control-" + i, host.nextAddress()));
        }
        for (VoterAddress voter : voters) {
            start(voter.name(), LogFile::open);
        }
    }

    @AfterEach
    void stopMembers() {
        members.forEach(SocketMember::kill);
    }

    /**
     * The leader's process is killed: another member becomes leader and has everything that was reported as committed.
     */
    @Test
    void killedLeaderLosesNoCommittedEntry() {
        for (int i = 0; i < 20; i++) {
            commit("before-" + i);
        }
        SocketMember old = awaitLeader();
        kill(old);
        commit("after");
        for (SocketMember member : members) {
            until("all entries", () -> member.state.contains("after"));
            assertThat(member.state).contains("before-0", "before-19");
        }
    }

    /**
     * The leader is partitioned while its connections stay open. Commands that it accepts from then on must be reported
     * as unknown, it must stop being leader, and another member must take over. After the partition it must hold what
     * the others committed and nothing else.
     */
    @Test
    void partitionedLeaderReportsUnknown() throws Exception {
        commit("before");
        SocketMember old = awaitLeader();
        partitioned.add(old.name);
        CompletableFuture<ProposalResult> unknown = old.propose("doubtful");
        until("another leader", () -> others(old).stream().anyMatch(SocketMember::leads));
        assertThat(old.leads()).isFalse();
        assertThat(unknown.get(60, TimeUnit.SECONDS)).isInstanceOf(ProposalResult.Unknown.class);
        assertThat(old.propose("refused").get(60, TimeUnit.SECONDS)).isInstanceOf(ProposalResult.NotTaken.class);
        commit("after");
        partitioned.clear();
        until("old leader caught up", () -> old.state.contains("after"));
        assertThat(old.state).doesNotContain("doubtful", "refused");
    }

    /**
     * A member's disk fails while its folder is read, which the file system may report by an unchecked exception. The
     * next attempt must find the folder unlocked, or the member stays out of the group permanently.
     */
    @Test
    void folderCanBeReadAfterAFailedAttempt() throws IOException {
        commit("kept");
        SocketMember old = awaitLeader();
        kill(old);
        assertThatThrownBy(() -> start(old.name, path -> {
                    throw new UncheckedIOException(new IOException("Input/output error"));
                }))
                .isInstanceOf(UncheckedIOException.class);
        SocketMember again = start(old.name, LogFile::open);
        until("caught up", () -> again.state.contains("kept"));
    }

    /**
     * A voter comes back with an empty folder: it must be a learner first, and vote under a new identity once it holds
     * everything. Right after that another VM is lost permanently. Nothing that was reported as committed may be
     * missing.
     */
    @Test
    void emptiedVoterAndSecondLossLoseNoCommittedEntry() throws IOException {
        commit("kept");
        SocketMember leader = awaitLeader();
        SocketMember emptied = others(leader).get(0);
        String before = emptied.members();
        kill(emptied);
        deleteFolder(emptied.name);
        commit("while-away");
        SocketMember repaired = start(emptied.name, LogFile::open);
        until("repair over", () -> {
            String now = repaired.members();
            return !now.isEmpty() && !now.equals(before) && !now.contains("learner") && now.split(",").length == 3;
        });
        SocketMember second = awaitLeader() == repaired ? others(repaired).get(0) : awaitLeader();
        kill(second);
        deleteFolder(second.name);
        commit("after");
        for (SocketMember member : members) {
            until("all entries", () -> member.state.contains("after"));
            assertThat(member.state).containsSubsequence("kept", "while-away", "after");
        }
    }

    /**
     * A member's disk is full, so its sync fails. The member must stop being leader and stop participating; the others
     * continue, and the folder must be intact when the member starts again with free disk space.
     */
    @Test
    void failingDiskStopsOnlyTheMember() throws Exception {
        SocketMember victim = members.get(0);
        commit("before");
        kill(victim);
        AtomicBoolean full = new AtomicBoolean();
        SocketMember failing = start(victim.name, path -> new FailingFile(LogFile.open(path), full));
        until("caught up", () -> failing.state.contains("before"));
        full.set(true);
        commit("while-full");
        until("member stopped", () -> !failing.log.isRunning());
        assertThat(failing.leads()).isFalse();
        assertThat(failing.propose("x").get(60, TimeUnit.SECONDS)).isInstanceOf(ProposalResult.NotTaken.class);
        commit("after");
        kill(failing);
        SocketMember again = start(victim.name, LogFile::open);
        until("caught up", () -> again.state.contains("after"));
        assertThat(again.state).containsSubsequence("before", "while-full", "after");
    }

    private SocketMember start(String name, LogFile.Opener opener) throws IOException {
        VoterAddress self =
                voters.stream().filter(v -> v.name().equals(name)).findFirst().orElseThrow();
        SocketMember member = new SocketMember(self, voters, data.resolve(name), partitioned, opener);
        members.add(member);
        return member;
    }

    private void kill(SocketMember member) {
        member.kill();
        members.remove(member);
    }

    private List<SocketMember> others(SocketMember member) {
        return members.stream().filter(m -> m != member).toList();
    }

    private SocketMember awaitLeader() {
        until("a leader", () -> leading().isPresent());
        return leading().orElseThrow();
    }

    private Optional<SocketMember> leading() {
        return members.stream().filter(SocketMember::leads).findFirst();
    }

    /** Proposes a command until it is reported as committed; a proposal with an unknown result is proposed again. */
    private void commit(String command) {
        until("committed " + command, () -> {
            Optional<SocketMember> leader = leading();
            return leader.isPresent()
                    && leader.get()
                                    .propose(command)
                                    .orTimeout(30, TimeUnit.SECONDS)
                                    .join()
                            instanceof ProposalResult.Committed;
        });
    }

    private static void until(String what, BooleanSupplier condition) {
        long deadline = System.nanoTime() + TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as(what).isLessThan(deadline);
            java.util.concurrent.locks.LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    private void deleteFolder(String name) throws IOException {
        try (Stream<Path> files = Files.walk(data.resolve(name))) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /** A file on a disk that becomes full: half of the bytes are written, then the write fails. */
    private record FailingFile(LogFile file, AtomicBoolean full) implements LogFile {
        @Override
        public void append(ByteBuffer bytes) throws IOException {
            if (full.get()) {
                file.append(bytes.slice(0, bytes.remaining() / 2));
                throw new IOException("No space left on device");
            }
            file.append(bytes);
        }

        @Override
        public void force() throws IOException {
            file.force();
        }

        @Override
        public void truncate(long size) throws IOException {
            file.truncate(size);
        }

        @Override
        public void close() throws IOException {
            file.close();
        }
    }
}
