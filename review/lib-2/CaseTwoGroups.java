import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * While the whole system starts for the first time, one machine of the core stands still for some seconds and wakes again.
 * Afterwards the operator changes the configuration at two nodes, one after the other, and reads it at all nodes. No node
 * may answer with an older version than the newest that was acknowledged.
 */
public final class CaseTwoGroups {

    /** Machines start within 0.3 s of each other; the one that will stand still is the first. */
    private static final long START_APART_MILLIS = 250;

    private static final long FREEZE_MILLIS = 7900;
    private static final long CONTACT_MILLIS = 3000;
    private static final long CONFIG_MILLIS = 2000;
    private static final int READ_SECONDS = 20;

    private CaseTwoGroups() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(args[1])); Deployment deployment = new Deployment(Path.of(args[0]), record, 5, 3)) {
            exit = run(deployment, record, trouble);
            for (Deployment.Node node : deployment.nodes) {
                node.quote("event=started", "event=group-founded", "event=leader-elected", "event=leader-seen", "event=version-committed",
                        "event=version-held");
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        Deployment.Node frozen = deployment.nodes.get(2);
        List<Deployment.Node> others = deployment.nodes.stream().filter(node -> node != frozen).toList();
        frozen.start(true);
        Thread starter = new Thread(() -> startOthers(others));
        starter.start();
        while (!Files.readString(frozen.log()).contains("event=started")) {
            if (record.seconds() > 20) {
                record.say("not started");
                return 2;
            }
            Server.sleep(5);
        }
        if (trouble) {
            frozen.signal("STOP");
            Server.sleep(FREEZE_MILLIS);
            frozen.signal("CONT");
        }
        starter.join();
        Server.sleep(CONTACT_MILLIS + 2000);
        String first = put(deployment, record, 10, others);
        String second = put(deployment, record, 11, List.of(frozen));
        if (first == null || second == null) {
            record.say("a configuration was not acknowledged");
            return 2;
        }
        long acknowledgedAt = System.nanoTime();
        Server.sleep(CONFIG_MILLIS);
        int older = 0;
        int newest = 0;
        while (System.nanoTime() - acknowledgedAt < READ_SECONDS * 1_000_000_000L) {
            for (Deployment.Node node : deployment.nodes) {
                StringBuilder text = new StringBuilder();
                String by = deployment.order(node.control(), "GET", "/v1/Config.Get", "", text);
                if (by != null) {
                    int version = ((Double) Json.object(text.toString()).get("Version")).intValue();
                    record.add("operator reads at %s: version %d, from %s", node.name(), version, by);
                    older += version < 11 ? 1 : 0;
                    newest += version == 11 ? 1 : 0;
                }
            }
            Server.sleep(500);
        }
        record.say("version 10 acknowledged by %s, then version 11 by %s; reads from %.1f s after that on: %d with version 11, %d with an older one",
                first, second, CONFIG_MILLIS / 1000.0, newest, older);
        record.say(older > 0 ? "RULE BROKEN: CONFIG" : "rule held");
        return older > 0 ? 1 : 0;
    }

    private static void startOthers(List<Deployment.Node> others) {
        try {
            Thread.sleep(START_APART_MILLIS);
            for (Deployment.Node node : others) {
                node.start(true);
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
    }

    private static String put(Deployment deployment, Record record, int version, List<Deployment.Node> targets) throws Exception {
        Map<String, Object> config = Json.object(Configs.streams());
        config.put("Version", version);
        String by = deployment.put(Json.write(config).replace(".0,", ","), 20, targets);
        record.say("version %d acknowledged by %s", version, by);
        return by;
    }
}
