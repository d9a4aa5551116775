import java.nio.file.Path;

/**
 * An operator who waits a second for each response sends changes until each is answered, and reads them; tells the tries and the
 * time. Arguments: the repository, an existing folder for the record, the number of changes. To slow the syncs of the nodes:
 *
 * <pre>
 * sh review/build-2.sh
 * gcc -shared -fPIC -o target/review-2/slow_sync.so review/trials/slow_sync.c -ldl
 * javac -cp target/review-2 -d target/review-2 review/trials/AnsweredChanges.java
 * LD_PRELOAD=$PWD/target/review-2/slow_sync.so SLOW_SYNC_MS=1200 java -cp target/review-2 AnsweredChanges $PWD FOLDER 2
 * </pre>
 */
public final class AnsweredChanges {
    public static void main(String[] args) throws Exception {
        int changes = Integer.parseInt(args[2]);
        try (Record record = new Record(Path.of(args[1])); Deployment deployment = new Deployment(Path.of(args[0]), record, 5, 3)) {
            deployment.startAll();
            for (int version = 7; version < 7 + changes; version++) {
                long begin = System.nanoTime();
                int tries = 0;
                boolean done = false;
                while (!done && System.nanoTime() - begin < 40_000_000_000L) {
                    tries++;
                    done = call(deployment, tries, "POST", "/v1/Config.Put", config(version));
                    if (!done) Thread.sleep(100);
                }
                System.out.printf("put version=%d answered=%s tries=%d after %.2f s%n", version, done, tries, (System.nanoTime() - begin) / 1e9);
                begin = System.nanoTime();
                tries = 0;
                done = false;
                while (!done && System.nanoTime() - begin < 20_000_000_000L) {
                    tries++;
                    done = call(deployment, tries, "GET", "/v1/Config.Get", "");
                    if (!done) Thread.sleep(100);
                }
                System.out.printf("read answered=%s tries=%d after %.2f s%n", done, tries, (System.nanoTime() - begin) / 1e9);
            }
        }
        System.exit(0);
    }

    static String config(int version) {
        return "{\"Version\":" + version + ",\"Routes\":[],\"Services\":[],\"Limits\":{\"MaxHeaderBytes\":16384,"
                + "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[]}";
    }

    static boolean call(Deployment deployment, int number, String method, String target, String body) {
        String at = deployment.nodes.get(number % deployment.nodes.size()).control();
        try {
            for (int hop = 0; hop < 3; hop++) {
                Message response = Call.send(at, method, target, body, 1000);
                if (response.status() == 307) {
                    String location = response.field("Location").substring("http://".length());
                    at = location.substring(0, location.indexOf('/'));
                    continue;
                }
                return response.status() == 200;
            }
        } catch (Exception e) {
            return false;
        }
        return false;
    }
}
