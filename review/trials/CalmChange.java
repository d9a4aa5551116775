import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Rounds of losses that three nodes with a disk must bear, each followed by a calm span and a change that must be acknowledged: a node
 * is replaced, by plan or for good, changes are sent, all are killed, one disk is lost. Arguments: the repository, an existing
 * folder for the record, the number of rounds, the seed. Compiled with RepairedVoter.
 */
public final class CalmChange {

    private static final int CORE = 3;
    private static final int SPARES = 24;
    private static final int WITHOUT_DISK = 4;
    private static final long CATCH_UP_MILLIS = 4000;
    private static final long CALM_MILLIS = 6000;
    private static final double ACK_SECONDS = 4;

    private final Deployment deployment;
    private final Record record;
    private final Random random;
    private final List<Deployment.Node> core = new ArrayList<>();
    private final List<Deployment.Node> spares = new ArrayList<>();
    private final List<Deployment.Node> others = new ArrayList<>();
    private int version = 1;

    private CalmChange(Deployment deployment, Record record, long seed) {
        this.deployment = deployment;
        this.record = record;
        this.random = new Random(seed);
        core.addAll(deployment.nodes.subList(0, CORE));
        spares.addAll(deployment.nodes.subList(CORE, CORE + SPARES));
        others.addAll(deployment.nodes.subList(CORE + SPARES, deployment.nodes.size()));
    }

    public static void main(String[] args) throws Exception {
        try (Record record = new Record(Path.of(args[1]));
                Deployment d = new Deployment(Path.of(args[0]), record, CORE + SPARES + WITHOUT_DISK, CORE + SPARES)) {
            CalmChange play = new CalmChange(d, record, Long.parseLong(args[3]));
            boolean holds = play.begin();
            for (int round = 1; holds && round <= Integer.parseInt(args[2]); round++) {
                holds = play.round(round);
            }
            record.say("held=%s", holds);
            for (Deployment.Node node : d.nodes) {
                if (Files.exists(node.log())) {
                    Files.copy(node.log(), Path.of(args[1]).resolve(node.log().getFileName()));
                }
            }
        }
        System.exit(0);
    }

    private boolean begin() throws Exception {
        for (Deployment.Node node : running()) {
            node.start(true);
        }
        return change(30) >= 0;
    }

    private boolean round(int number) throws Exception {
        StringBuilder what = new StringBuilder();
        if (random.nextInt(10) < 4 && !spares.isEmpty()) {
            replace(what);
        }
        int changes = random.nextInt(6);
        what.append(changes).append(" changes ");
        for (int i = 0; i < changes; i++) {
            change(30);
        }
        if (random.nextInt(3) == 0) {
            what.append("one on its way ");
            String table = RepairedVoter.table(version++, 600);
            Deployment.Node to = any();
            Server.daemon(() -> deployment.order(to.control(), "POST", "/v1/Config.Put", table, new StringBuilder()), "change");
            Thread.sleep(random.nextInt(30));
        }
        if (random.nextInt(10) < 8) {
            restartAll(what);
        }
        Thread.sleep(CALM_MILLIS);
        double after = change(ACK_SECONDS);
        record.say("round=%d %s ack_after_s=%.2f", number, what, after);
        if (after < 0) {
            record.say("later: ack_after_s=%.2f", change(30));
        }
        return after >= 0;
    }

    private void replace(StringBuilder what) throws Exception {
        boolean planned = random.nextBoolean();
        Deployment.Node old = core.remove(random.nextInt(core.size()));
        Deployment.Node successor = spares.remove(0);
        what.append(planned ? "planned replacement " : "lost for good ");
        what.append(old.number).append(" by ").append(successor.number).append(' ');
        if (planned) {
            successor.start(false);
            Thread.sleep(1200);
            old.signal("TERM");
            Deployment.await("end of " + old.name(), 15, () -> !old.isAlive());
        } else {
            old.signal("KILL");
            Thread.sleep(1300);
            successor.start(false);
        }
        core.add(successor);
        deployment.seeds(core);
        Thread.sleep(CATCH_UP_MILLIS);
    }

    private void restartAll(StringBuilder what) throws Exception {
        List<Deployment.Node> all = running();
        Collections.shuffle(all, random);
        for (Deployment.Node node : all) {
            node.signal("KILL");
        }
        what.append("all killed ");
        Thread.sleep(300);
        if (random.nextBoolean()) {
            Deployment.Node emptied = core.get(random.nextInt(core.size()));
            ReplacedLeader.wipe(emptied);
            what.append("disk of ").append(emptied.number).append(" lost ");
        }
        for (Deployment.Node node : all) {
            node.start(false);
            Thread.sleep(random.nextInt(200));
        }
    }

    /** Returns the seconds until a change is acknowledged, or -1 if it isn't in time. */
    private double change(double seconds) throws Exception {
        long begin = System.nanoTime();
        String by = deployment.put(RepairedVoter.table(version++, 600), seconds, running());
        return by == null ? -1 : (System.nanoTime() - begin) / 1e9;
    }

    private List<Deployment.Node> running() {
        List<Deployment.Node> all = new ArrayList<>(core);
        all.addAll(others);
        return all;
    }

    private Deployment.Node any() {
        List<Deployment.Node> all = running();
        return all.get(random.nextInt(all.size()));
    }
}
