package org.copperspindle.audit;

import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;

import org.copperspindle.control.AnnounceCommand;
import org.copperspindle.control.ApplyConfigCommand;
import org.copperspindle.control.ControlState;
import org.copperspindle.control.RemoveUpstreamCommand;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.wire.WireMessage;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the audit records that the replicated state derives from its log.
 */
class AuditedStateTest {

    private static final Instant AT = Instant.parse("2026-12-02T08:00:00Z");
    private static final String FIRST = "[deployment]\nname = a\n";
    private static final String SECOND = "[deployment]\nname = b\n";

    private final ControlState encoder = new ControlState(AuditSink.NONE, Clock.fixed(AT, ZoneOffset.UTC));
    private final List<byte[]> log = new ArrayList<>();

    /**
     * Two members with wrong local clocks apply the same log, one of them from a snapshot in its middle. Both hold the
     * same chain with the time of the leader, so an operator may query either.
     */
    @Test
    void membersHoldTheSameChain() {
        propose(new ApplyConfigCommand("c1", 0, "ann", FIRST));
        propose(announcement(1, false));
        ControlState first = new ControlState(AuditSink.NONE, Clock.systemUTC());
        apply(first, 0);
        ControlState second = new ControlState(AuditSink.NONE, Clock.fixed(Instant.EPOCH, ZoneOffset.UTC));
        second.restore(first.snapshot());
        propose(new ApplyConfigCommand("c2", 1, "ben", SECOND));
        propose(new RemoveUpstreamCommand("engine-1", 7, false));

        apply(first, 2);
        apply(second, 2);

        assertThat(first.audit().head().number()).isEqualTo(4);
        assertThat(second.audit().head()).isEqualTo(first.audit().head());
    }

    /**
     * An operator loses the response and retries a change, another loses the race for the same base version, and an
     * announcement arrives twice and late. Each accepted change and each actual change of membership has exactly one
     * record.
     */
    @Test
    void commandsWithoutEffectLeaveNoRecord() throws Exception {
        propose(new ApplyConfigCommand("c1", 0, "ann", FIRST));
        propose(new ApplyConfigCommand("c1", 0, "ann", FIRST));
        propose(new ApplyConfigCommand("c9", 0, "ben", SECOND));
        propose(announcement(2, true));
        propose(announcement(2, true));
        propose(announcement(1, false));
        propose(new RemoveUpstreamCommand("engine-1", 7, true));
        propose(new RemoveUpstreamCommand("engine-1", 7, true));
        List<AuditRecord> records = new ArrayList<>();
        apply(new ControlState(sink(records), Clock.systemUTC()), 0);

        List<String> descriptions = new ArrayList<>();
        for (AuditRecord record : records) {
            AuditEntry entry = record.entry();
            assertThat(entry.acceptedAtMillis()).isEqualTo(AT.toEpochMilli());
            descriptions.add(record.index() + " " + entry.kind().label() + " " + entry.actor() + " " + entry.details());
        }

        assertThat(descriptions)
                .containsExactly(
                        "1 change ann [+ [deployment]]",
                        "4 membership engine-1 [joined pool=engines failure-domain=north, models=llm-1, draining]",
                        "7 membership engine-1 [removed incarnation=7]");
    }

    private void propose(WireMessage command) {
        log.add(encoder.encode(command));
    }

    private void apply(ControlState state, int from) {
        for (int i = from; i < log.size(); i++) {
            state.apply(i + 1, 3, log.get(i));
        }
    }

    private static AnnounceCommand announcement(long sequence, boolean draining) {
        return new AnnounceCommand(UpstreamAnnouncement.CODEC.encode(new UpstreamAnnouncement(
                "engine-1",
                "engines",
                "north",
                new InetSocketAddress("127.0.0.1", 9),
                7,
                sequence,
                List.of("llm-1"),
                draining)));
    }

    private static AuditSink sink(List<AuditRecord> records) {
        return new AuditSink() {
            @Override
            public void append(AuditRecord record) {
                records.add(record);
            }

            @Override
            public long durable() {
                return Long.MAX_VALUE;
            }
        };
    }
}
