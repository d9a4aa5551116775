package org.copperspindle.emulator;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * How one fake upstream behaves while it is healthy.
 *
 * @param kind        its interface
 * @param address     where it listens; port 0 takes a free one
 * @param concurrency calls that run at once; others wait in their order
 * @param service     time of a call; for an engine, time until the first token
 * @param perToken    engines only: time of each further token while one call runs, longer in a full batch
 * @param maxTokens   engines only: longest answer; the answer has as many words as the request asks for, up to this,
 *                    and at least those that it repeats from the prompt
 * @param reportsLoad whether answers carry the load header
 */
public record FakeSettings(
        FakeKind kind,
        InetSocketAddress address,
        int concurrency,
        Duration service,
        Duration perToken,
        int maxTokens,
        boolean reportsLoad) {

    private static final int UNBOUNDED = 1_000_000;

    /**
     * Describes a fake on a free loopback port that runs everything at once, with tokens that take no time.
     *
     * @param kind    its interface
     * @param service time of a call
     * @return the settings
     */
    public static FakeSettings simple(FakeKind kind, Duration service) {
        return new FakeSettings(
                kind, new InetSocketAddress("127.0.0.1", 0), UNBOUNDED, service, Duration.ZERO, 0, false);
    }
}
