import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The leader's node is replaced by plan, then another node loses its disk; tells when a change is accepted after that. Arguments: the
 * repository, an existing folder for the record, milliseconds from the start of the successor until the loss. Compiled with
 * AnsweredChanges, as told there.
 */
public final class ReplacedLeader {
    public static void main(String[] args) throws Exception {
        long lossAfter = Long.parseLong(args[2]);
        try (Record record = new Record(Path.of(args[1])); Deployment d = new Deployment(Path.of(args[0]), record, 5, 4)) {
            List<Deployment.Node> first = new ArrayList<>(d.nodes);
            Deployment.Node successor = first.remove(3);
            d.seeds(first.subList(0, 3));
            for (Deployment.Node n : first) n.start(true);
            String by = d.put(AnsweredChanges.config(7), 30, first);
            String leaderIp = by.substring(0, by.indexOf(':'));
            Deployment.Node leader = first.stream().filter(n -> n.control().startsWith(leaderIp + ":")).findFirst().orElseThrow();
            Thread.sleep(3000);
            long begin = System.nanoTime();
            successor.start(false);
            Thread.sleep(300);
            leader.signal("TERM");
            Thread.sleep(lossAfter - (System.nanoTime() - begin) / 1_000_000);
            Deployment.Node second = first.stream().limit(3).filter(n -> n != leader).findFirst().orElseThrow();
            second.signal("KILL");
            Thread.sleep(200); wipe(second);
            second.start(false);
            begin = System.nanoTime();
            boolean put = false;
            int tries = 0;
            while (!put && System.nanoTime() - begin < 30_000_000_000L) {
                put = AnsweredChanges.call(d, tries++, "POST", "/v1/Config.Put", AnsweredChanges.config(9));
                if (!put) Thread.sleep(100);
            }
            System.out.printf("leader=%s lossAfter=%d accepted=%s after %.1f s%n", leader.name(), lossAfter, put, (System.nanoTime() - begin) / 1e9);
        }
        System.exit(0);
    }

    static void wipe(Deployment.Node node) throws Exception {
        Path data = node.log().resolveSibling(node.log().getFileName().toString().replace("log-", "data-"));
        try (var files = Files.walk(data)) {
            files.sorted(Comparator.reverseOrder()).filter(p -> !p.equals(data)).forEach(p -> p.toFile().delete());
        }
    }
}
