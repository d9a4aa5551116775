import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Starts nodes that all have a disk for the first time, and tells after how long a configuration is accepted. Arguments: the
 * repository, the number of nodes, the number of rounds, the file of the record. To slow the syncs of the nodes:
 *
 * <pre>
 * gcc -shared -fPIC -o target/review/slow_sync.so review/trials/slow_sync.c -ldl
 * javac -cp target/review -d target/review review/trials/ElectionTime.java
 * LD_PRELOAD=$PWD/target/review/slow_sync.so SLOW_SYNC_MS=100 java -cp target/review ElectionTime $PWD 3 3 target/review/record.txt
 * </pre>
 */
public final class ElectionTime {
    public static void main(String[] args) throws Exception {
        int count = Integer.parseInt(args[1]);
        int rounds = Integer.parseInt(args[2]);
        String config = "{\"Version\":7,\"Routes\":[],\"Services\":[],\"Limits\":{\"MaxHeaderBytes\":16384,"
                + "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[]}";
        for (int round = 0; round < rounds; round++) {
            try (Stand stand = new Stand(Path.of(args[0]), Path.of(args[3]), count)) {
                stand.disks = count;
                long begin = System.nanoTime();
                for (Stand.Node node : stand.nodes) {
                    node.start();
                }
                boolean accepted = stand.put(config, 60);
                double seconds = (System.nanoTime() - begin) / 1e9;
                long elections = 0;
                for (Stand.Node node : stand.nodes) {
                    elections += Files.readAllLines(node.out).stream()
                            .filter(line -> line.contains("event=election-started"))
                            .count();
                }
                System.out.printf("nodes=%d sync_ms=%s accepted=%s after %.1f s, elections=%d%n", count,
                        System.getenv("SLOW_SYNC_MS"), accepted, seconds, elections);
            }
        }
        System.exit(0);
    }
}
