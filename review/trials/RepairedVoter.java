import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * All nodes are killed, one of three disks is lost, and all start again, round after round; tells after which time the emptied member
 * votes again. Arguments: the repository, an existing folder for the record, the number of rounds, the seed, the number of routes
 * in the table, and {@code second} if another disk is lost four seconds after the start of the emptied node. Compiled with
 * AnsweredChanges, as told there.
 */
public final class RepairedVoter {

    private static final double CATCH_UP_SECONDS = 4;
    private static final Pattern PROMOTED = Pattern.compile("ts=(\\d+) .*event=voter-promoted member=([0-9.]+):");

    private final Deployment deployment;
    private final Record record;
    private final Random random;
    private final int routes;
    private int version = 1;

    private RepairedVoter(Deployment deployment, Record record, long seed, int routes) {
        this.deployment = deployment;
        this.record = record;
        this.random = new Random(seed);
        this.routes = routes;
    }

    public static void main(String[] args) throws Exception {
        int rounds = Integer.parseInt(args[2]);
        boolean second = args.length > 5 && args[5].equals("second");
        try (Record record = new Record(Path.of(args[1])); Deployment d = new Deployment(Path.of(args[0]), record, 5, 3)) {
            RepairedVoter play = new RepairedVoter(d, record, Long.parseLong(args[3]), Integer.parseInt(args[4]));
            d.startAll();
            boolean holds = play.change(18);
            for (int round = 1; holds && round <= rounds; round++) {
                holds = play.round(round, second);
            }
            record.say("held=%s", holds);
            for (Deployment.Node node : d.nodes) {
                Files.copy(node.log(), Path.of(args[1]).resolve(node.log().getFileName()));
            }
        }
        System.exit(0);
    }

    private boolean round(int number, boolean second) throws Exception {
        Deployment.Node emptied = deployment.nodes.get(random.nextInt(3));
        for (Deployment.Node node : deployment.nodes) {
            node.signal("KILL");
        }
        Thread.sleep(300);
        ReplacedLeader.wipe(emptied);
        List<Deployment.Node> order = new ArrayList<>(deployment.nodes);
        Collections.shuffle(order, random);
        long emptiedAt = 0;
        for (Deployment.Node node : order) {
            if (node == emptied) {
                emptiedAt = System.currentTimeMillis();
            }
            node.start(false);
            Thread.sleep(random.nextInt(120));
        }
        if (second) {
            Thread.sleep(Math.max(0, emptiedAt + (long) (CATCH_UP_SECONDS * 1000) - System.currentTimeMillis()));
            Deployment.Node other = deployment.nodes.stream().limit(3).filter(n -> n != emptied).skip(random.nextInt(2)).findFirst().orElseThrow();
            other.signal("KILL");
            Thread.sleep(200);
            ReplacedLeader.wipe(other);
            other.start(false);
        }
        double votes = second ? -1 : votesAfter(emptied, emptiedAt);
        boolean changed = change(1 + random.nextInt(5));
        record.say("round=%d emptied=%s votes_after_s=%.2f late=%s changed=%s", number, emptied.name(), votes, !second && (votes < 0 || votes > CATCH_UP_SECONDS), changed);
        Thread.sleep(second ? 5000 : 500);
        return changed;
    }

    /** Returns the seconds from the start of an emptied node until it votes, or -1 if it doesn't within 20 s. */
    private double votesAfter(Deployment.Node emptied, long startedAt) throws Exception {
        while (System.currentTimeMillis() - startedAt < 20_000) {
            for (Deployment.Node node : deployment.nodes.subList(0, 3)) {
                Matcher line = PROMOTED.matcher(Files.readString(node.log()));
                while (line.find()) {
                    if (Long.parseLong(line.group(1)) > startedAt && line.group(2).equals(emptied.ip())) {
                        return (Long.parseLong(line.group(1)) - startedAt) / 1000.0;
                    }
                }
            }
            Thread.sleep(50);
        }
        return -1;
    }

    private boolean change(int changes) throws Exception {
        for (int i = 0; i < changes; i++) {
            String by = deployment.put(table(version++, routes), 30, deployment.nodes);
            if (by == null) {
                return false;
            }
        }
        return true;
    }

    static String table(int of, int routes) {
        StringBuilder text = new StringBuilder("{\"Version\":" + of + ",\"Routes\":[");
        for (int i = 0; i < routes; i++) {
            text.append(i == 0 ? "" : ",").append("{\"Name\":\"r-" + i + "\",\"Host\":\"h" + i + ".example\",\"PathPrefix\":\"/p" + i + "/\","
                    + "\"RouteType\":\"safe\",\"TimeoutMs\":" + (5000 + of) + ",\"SloMs\":900,\"Priority\":0,\"Service\":\"wuno96b\",\"MaxAttempts\":2,"
                    + "\"Public\":true,\"Sticky\":true,\"Resumable\":false,\"GapTargetMs\":200}");
        }
        return text + "],\"Services\":[{\"Name\":\"wuno96b\",\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}],"
                + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[]}";
    }
}
