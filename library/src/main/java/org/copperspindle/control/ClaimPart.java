package org.copperspindle.control;

import java.util.List;

import org.copperspindle.claims.ClaimRequestMessage;
import org.copperspindle.claims.ClaimSettleMessage;
import org.copperspindle.claims.ClaimTable;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Makes the {@link ClaimTable} a part of the replicated state.
 */
final class ClaimPart implements StatePart {

    private final ClaimTable table = new ClaimTable();

    ClaimTable table() {
        return table;
    }

    @Override
    public String name() {
        return "claims";
    }

    @Override
    public List<MessageCodec<?>> commands() {
        return List.of(ClaimCommand.CODEC, SettleCommand.CODEC);
    }

    @Override
    public ControlResult apply(long index, WireMessage command) throws MalformedFrameException {
        if (command instanceof ClaimCommand claim) {
            return new ControlResult.Claimed(
                    table.claim(ClaimRequestMessage.CODEC.decode(claim.claim()), claim.atMillis()));
        }
        if (command instanceof SettleCommand settle) {
            table.settle(ClaimSettleMessage.CODEC.decode(settle.settle()));
        }
        return new ControlResult.Done();
    }

    @Override
    public byte[] snapshot() {
        return table.snapshot();
    }

    @Override
    public void clear() {
        table.restore(new byte[0]);
    }

    @Override
    public void restore(byte[] snapshot) {
        table.restore(snapshot);
    }
}
