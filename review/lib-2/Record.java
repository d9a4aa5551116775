import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: what was sent, answered and run, with seconds since its start. */
final class Record implements AutoCloseable {

    private final long start = System.nanoTime();
    private final PrintWriter out;

    Record(Path folder) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    double seconds() {
        return (System.nanoTime() - start) / 1e9;
    }

    synchronized void add(String format, Object... values) {
        out.printf(Locale.ROOT, "%8.3f ", seconds());
        out.printf(Locale.ROOT, format, values);
        out.println();
        out.flush();
    }

    /** Adds a line and prints it as well. */
    void say(String format, Object... values) {
        add(format, values);
        System.out.printf(Locale.ROOT, format + "%n", values);
    }

    @Override
    public void close() {
        out.close();
    }
}
