import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * While the whole system starts for the first time, one machine of the core is killed before the control group exists,
 * and restarted. The operator's configuration must be acknowledged once the core is stable again.
 */
public final class CaseFirstStart {

    private static final long KILL_AFTER_MILLIS = Long.getLong("killAfter", 1000);
    private static final long RESTART_AFTER_MILLIS = 2000;
    private static final int OPERATOR_SECONDS = 45;

    private CaseFirstStart() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(args[1])); Deployment deployment = new Deployment(Path.of(args[0]), record, 5, "replace".equals(System.getenv("VARIANT")) ? 4 : 3)) {
            exit = run(deployment, record, trouble);
            for (Deployment.Node node : deployment.nodes) {
                node.quote("event=started", "event=group-founded", "event=leader-elected", "event=leader-seen", "event=identity-created",
                        "event=version-committed");
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
        boolean replaced = "replace".equals(System.getenv("VARIANT"));
        Deployment.Node first = deployment.nodes.get(0);
        if (replaced) {
            // The machine that comes later is the first by its address; another one, with a disk, is gone for good.
            deployment.seeds(deployment.nodes.subList(1, 4));
            for (Deployment.Node node : deployment.nodes.subList(1, deployment.nodes.size())) {
                node.start(true);
            }
            Server.sleep(KILL_AFTER_MILLIS);
            deployment.nodes.get(1).signal("KILL");
            deployment.nodes.remove(1);
            Server.sleep(RESTART_AFTER_MILLIS);
            first.start(false);
        } else {
            deployment.startAll();
        }
        if (trouble && !replaced) {
            Server.sleep(KILL_AFTER_MILLIS);
            first.signal("KILL");
            Server.sleep(RESTART_AFTER_MILLIS);
            // The whole system no longer starts for the first time.
            first.start(false);
        }
        double stableAt = record.seconds();
        String config = Configs.streams();
        String by = null;
        while (by == null && record.seconds() < stableAt + OPERATOR_SECONDS) {
            by = deployment.put(config, 2, deployment.nodes);
        }
        boolean allRun = deployment.nodes.stream().allMatch(Deployment.Node::isAlive);
        long ready = deployment.nodes.stream().filter(deployment::isReady).count();
        record.say("acknowledged by=%s after %.1f s; all processes run=%s; ready nodes=%d", by, record.seconds() - stableAt, allRun, ready);
        if (!allRun) {
            return 2;
        }
        record.say(by == null ? "RULE BROKEN: Acks, no request can be served" : "rule held");
        return by == null ? 1 : 0;
    }
}
