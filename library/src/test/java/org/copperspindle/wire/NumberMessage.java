package org.copperspindle.wire;

/**
 * A test message with a number and padding of any size.
 *
 * @param number  number that identifies the message
 * @param padding any bytes
 */
record NumberMessage(long number, byte[] padding) implements WireMessage {

    static final MessageCodec<NumberMessage> CODEC = MessageCodec.of(
            100,
            NumberMessage.class,
            (m, out) -> out.put(1, m.number).put(2, m.padding),
            in -> new NumberMessage(in.getLong(1, -1), in.getBytes(2)));

    NumberMessage(long number) {
        this(number, new byte[0]);
    }
}
