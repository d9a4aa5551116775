package org.copperspindle.soak;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Sends versions until they are acknowledged, and reads back what is in force.
 */
final class SoakOperator {

    /** The account whose key is never taken away. */
    static final String LASTING = "lasting";

    /** Accounts whose keys are never taken away either; each sends half as much as the one before it. */
    static final List<String> SMALLER = List.of("second", "third", "fourth");

    /** The account whose key may be. */
    static final String REVOKED = "passing";

    /** After an acknowledged version that takes a key away, nothing sent with it runs any more. */
    static final Duration REVOCATION = Duration.ofSeconds(5);

    /** After an acknowledged drain nothing sent later reaches the upstream. */
    static final long DRAIN_MILLIS = 2000;

    /** Nodes hear of others within this after links are sound again. */
    static final long CONTACT_MILLIS = 4000;

    private static final String TABLE = "/v1/table";
    private static final String EVACUATIONS = "/v1/evacuations/";
    private static final Pattern VERSION = Pattern.compile("version = (\\d+)");
    private static final Duration PATIENCE = Duration.ofSeconds(2);
    private static final long READ_AFTER_MILLIS = 2500;
    private static final int OBJECTIVE_MILLIS = 1500;

    /** More than half of the timeout of the routes. */
    private static final int WAITING_OBJECTIVE_MILLIS = 2500;

    /** The same where groups wait for a slow stage. */
    private static final int SLOW_OBJECTIVE_MILLIS = 6000;

    private static final int TIMEOUT_MILLIS = 4000;

    /** Longest pause between two events of a stream that lasts for seconds. */
    private static final int CHAT_PAUSE_MILLIS = 1000;

    private final List<NodePorts> nodes;
    private final PromiseBook book;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .followRedirects(HttpClient.Redirect.ALWAYS)
            .connectTimeout(PATIENCE)
            .build();
    private final boolean shortage;
    private final boolean fleetKills;
    private final SoakSettings settings;
    private long version;
    private long acknowledged;
    private long acknowledgedAt;
    private boolean revoked;

    /** Creates an operator, whose versions depend on what is run. */
    SoakOperator(List<NodePorts> nodes, PromiseBook book, SoakSettings settings) {
        this.nodes = nodes;
        this.shortage = settings.shortage();
        this.fleetKills = settings.fleetKills();
        this.settings = settings;
        this.book = book;
    }

    /** Sends a version; returns whether it was acknowledged before the time was over. */
    synchronized boolean change(boolean revokes, Duration bound) {
        revoked |= revokes;
        version++;
        String table = table();
        long end = System.nanoTime() + bound.toNanos();
        while (System.nanoTime() < end) {
            if (send("PUT", TABLE, HttpRequest.BodyPublishers.ofString(table)).isPresent()) {
                acknowledged = version;
                acknowledgedAt = System.currentTimeMillis();
                if (revoked && book.revokedAt() == Long.MAX_VALUE) {
                    book.revoked(acknowledgedAt);
                }
                return true;
            }
        }
        return false;
    }

    /** Reads the newest version from any node; one that was acknowledged a while ago must show. */
    synchronized boolean check() {
        boolean settled = System.currentTimeMillis() - acknowledgedAt > READ_AFTER_MILLIS;
        long least = settled ? acknowledged : 0;
        Optional<Long> read =
                send("GET", TABLE, HttpRequest.BodyPublishers.noBody()).flatMap(SoakOperator::version);
        read.filter(found -> found < least)
                .ifPresent(found -> book.breaks("config: read version " + found + " after " + least + " was accepted"));
        return read.isPresent();
    }

    /** Has a failure domain evacuated, or used again; returns whether that was acknowledged before the time was over. */
    boolean evacuate(String failureDomain, boolean begins, Duration bound) {
        long end = System.nanoTime() + bound.toNanos();
        while (System.nanoTime() < end && !Thread.currentThread().isInterrupted()) {
            String path = EVACUATIONS + failureDomain;
            if (send(begins ? "PUT" : "DELETE", path, HttpRequest.BodyPublishers.noBody())
                    .isPresent()) {
                return true;
            }
        }
        return false;
    }

    private Optional<String> send(String method, String path, HttpRequest.BodyPublisher body) {
        NodePorts node = nodes.get(ThreadLocalRandom.current().nextInt(nodes.size()));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + node.address(node.control()) + path))
                .timeout(PATIENCE)
                .method(method, body)
                .build();
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() >= 400 && response.statusCode() < 500) {
                book.breaks(
                        "config: " + method + " was refused with " + response.statusCode() + ": " + response.body());
            }
            return response.statusCode() == 200 ? Optional.of(response.body()) : Optional.empty();
        } catch (IOException e) {
            // No clear answer: the same is sent again, to any node.
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    private static Optional<Long> version(String table) {
        Matcher matcher = VERSION.matcher(table);
        return matcher.find() ? Optional.of(Long.valueOf(matcher.group(1))) : Optional.empty();
    }

    private String table() {
        return "[table]\nversion = " + version + "\n[account " + LASTING + "]\nkeys = key-" + LASTING + "\n[account "
                + REVOKED + "]\nkeys = " + (revoked ? "key-other" : "key-" + REVOKED) + '\n' + smallerAccounts()
                + "[pool " + SoakUpstream.WEB
                + "]\n[pool " + SoakUpstream.ENGINE + "]\nengine-slots = 16\ncold-time = " + ColdStart.TIME_MILLIS
                + "ms\ncold-per-second = " + ColdStart.PER_SECOND + '\n' + stagePools()
                + route(SoakRequest.SAFE, "safe", SoakUpstream.WEB, "max-attempts = 2")
                + route(SoakRequest.ONCE, "unsafe", SoakUpstream.WEB, "max-attempts = 2")
                + route(SoakRequest.DRAFT, "stream", SoakUpstream.ENGINE, "max-attempts = 2")
                + stages(SoakRequest.DRAFT)
                + route(SoakRequest.RESUME, "stream", SoakUpstream.ENGINE, "max-attempts = 3\nresumable = true")
                + stages(SoakRequest.RESUME)
                + (fleetKills ? chat() : "");
    }

    private String chat() {
        return "[route chat]\nhost = h\npath-prefix = /chat/\nkind = stream\ntimeout = "
                + ReturningCaller.DEADLINE_MILLIS
                + "ms\nobjective = " + OBJECTIVE_MILLIS + "ms\nrank = 0\npools = " + SoakUpstream.ENGINE
                + "\nlongest-pause = " + CHAT_PAUSE_MILLIS + "ms\nmax-attempts = 3\nresumable = true\n";
    }

    private String stagePools() {
        if (!shortage) {
            String usual = stagePool(
                    SoakUpstream.STAGE, "pieces-in-a-call = 8\ncalls-waiting = 2\ncall-time = 30ms\npiece-time = 1ms");
            return settings.reuses() ? usual + slowStagePool() : usual;
        }
        String limits = "pieces-in-a-call = 4\ncalls-waiting = 1\ncall-time = " + SoakUpstream.SHORT_CALL_MILLIS
                + "ms\npiece-time = " + SoakUpstream.SHORT_PIECE_MILLIS + "ms";
        return stagePool(SoakUpstream.STAGE, limits) + stagePool(SoakUpstream.LATER_STAGE, limits);
    }

    private String slowStagePool() {
        return stagePool(
                SoakUpstream.LATER_STAGE,
                "pieces-in-a-call = 4\ncalls-waiting = 1\ncall-time = " + SoakUpstream.SLOW_CALL_MILLIS
                        + "ms\npiece-time = " + SoakUpstream.SHORT_PIECE_MILLIS + "ms");
    }

    private String stagePool(String name, String limits) {
        return "[pool " + name + "]\n" + limits + "\nresult-memory = 1MiB\nresult-kept = "
                + (settings.reuses() ? LeavingCaller.DEADLINE_MILLIS : TIMEOUT_MILLIS) + "ms\n";
    }

    private static String smallerAccounts() {
        StringBuilder accounts = new StringBuilder();
        SMALLER.forEach(name -> accounts.append("[account " + name + "]\nkeys = key-" + name + '\n'));
        return accounts.toString();
    }

    private String route(String name, String kind, String pool, String more) {
        // A route of lower rank that leaves its callers time to wait makes the group of its pools a coordinated one.
        boolean waits = shortage && name.equals(SoakRequest.DRAFT);
        int usual = settings.reuses() ? SLOW_OBJECTIVE_MILLIS : OBJECTIVE_MILLIS;
        int objective = waits ? Math.max(usual, WAITING_OBJECTIVE_MILLIS) : usual;
        int timeout = settings.reuses() ? LeavingCaller.DEADLINE_MILLIS : TIMEOUT_MILLIS;
        // The objective differs from version to version, so that each has an effect.
        return "[route " + name + "]\nhost = h\npath-prefix = /" + name + "/\nkind = " + kind
                + "\ntimeout = " + timeout + "ms\nobjective = " + (objective + version % 100) + "ms\nrank = "
                + (waits ? 1 : 0)
                + "\npools = " + pool
                + "\nlongest-pause = 200ms\n" + more + "\n";
    }

    private String stages(String route) {
        return "[stage " + route + "/0]\npool = " + SoakUpstream.STAGE + "\nresult-size = 1KiB\n[stage " + route
                + "/1]\npool = " + (settings.hasLaterPool() ? SoakUpstream.LATER_STAGE : SoakUpstream.STAGE)
                + "\nafter = 0\nresult-size = 1KiB\n";
    }
}
