package org.copperspindle.gateway;

import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.discovery.DirectoryGossip;
import org.copperspindle.discovery.UpstreamNews;
import org.copperspindle.edition.EditionExchange;
import org.copperspindle.edition.EditionMember;
import org.copperspindle.edition.EditionMessage;
import org.copperspindle.edition.EditionResult;
import org.copperspindle.route.RouteTableReader;
import org.copperspindle.route.RouteTableResult;

/**
 * What operators and upstreams may ask of a node. Network thread only; answers come on it.
 */
public final class ControlDesk {

    private static final Logger LOGGER = LogManager.getLogger(ControlDesk.class);

    private final DirectoryGossip gossip;
    private final EditionExchange editions;
    private final RouteTableReader reader;
    private final Executor network;

    ControlDesk(DirectoryGossip gossip, EditionExchange editions, RouteTableReader reader, Executor network) {
        this.gossip = gossip;
        this.editions = editions;
        this.reader = reader;
        this.network = network;
    }

    /**
     * Takes an upstream's announcement; it has been passed on to all nodes when this returns.
     *
     * @param news the announcement
     */
    public void announced(UpstreamNews news) {
        gossip.announced(news);
    }

    /**
     * Takes note that an upstream leaves; this has been passed on to all nodes when this returns.
     *
     * @param id its id
     */
    public void left(String id) {
        gossip.left(id, "deregistered");
    }

    /**
     * Has a configuration accepted.
     *
     * @param text   the whole text
     * @param answer told how it ended
     */
    public void accept(byte[] text, Consumer<ControlAnswer> answer) {
        RouteTableResult result = reader.read(text);
        if (result instanceof RouteTableResult.Invalid invalid) {
            LOGGER.info("event=version-refused bytes={} problem=\"{}\"", text.length, invalid.problem());
            answer.accept(new ControlAnswer.Invalid(invalid.problem()));
        } else if (result instanceof RouteTableResult.Valid valid) {
            EditionMessage edition = new EditionMessage(valid.table().version(), text);
            withMember(
                    answer,
                    member -> member.put(
                            edition,
                            ended -> network.execute(() -> {
                                LOGGER.info(
                                        "event=version-asked version={} bytes={} result={}",
                                        edition.version(),
                                        text.length,
                                        describe(ended));
                                answer.accept(translate(ended));
                            })));
        }
    }

    /**
     * Reads the newest accepted configuration.
     *
     * @param answer told the text
     */
    public void read(Consumer<ControlAnswer> answer) {
        withMember(answer, member -> member.read(ended -> network.execute(() -> answer.accept(translate(ended)))));
    }

    private void withMember(Consumer<ControlAnswer> answer, Consumer<EditionMember> task) {
        Optional<EditionMember> member = editions.member();
        if (member.isPresent() && editions.status().leads()) {
            task.accept(member.get());
        } else {
            answer.accept(elsewhere());
        }
    }

    private ControlAnswer translate(EditionResult result) {
        if (result instanceof EditionResult.Recorded recorded) {
            return new ControlAnswer.Recorded(
                    recorded.version(), recorded.newest().map(EditionMessage::text));
        }
        if (result instanceof EditionResult.NotLeading) {
            return elsewhere();
        }
        return new ControlAnswer.Unavailable("the leader changed meanwhile; the outcome is not known");
    }

    private ControlAnswer elsewhere() {
        return editions.leaderControl()
                .<ControlAnswer>map(ControlAnswer.Elsewhere::new)
                .orElseGet(() -> new ControlAnswer.Unavailable("no leader is known"));
    }

    private static String describe(EditionResult result) {
        return result instanceof EditionResult.Recorded recorded
                ? "recorded newest=" + recorded.version()
                : result.getClass().getSimpleName();
    }
}
