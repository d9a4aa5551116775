package org.copperspindle.demo;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/**
 * A table of text with aligned columns: the first ones, which hold words, to the left, the others to the right.
 */
final class TextTable {

    private static final String GAP = "  ";

    private final int words;
    private final List<String[]> rows = new ArrayList<>();

    TextTable(int words, String... heads) {
        this.words = words;
        rows.add(heads);
    }

    void row(String... cells) {
        rows.add(cells);
    }

    void print(PrintStream out) {
        int[] widths = new int[rows.get(0).length];
        for (String[] row : rows) {
            for (int i = 0; i < row.length; i++) {
                widths[i] = Math.max(widths[i], row[i].length());
            }
        }
        for (String[] row : rows) {
            StringBuilder line = new StringBuilder(GAP);
            for (int i = 0; i < row.length; i++) {
                String pattern = i < words ? "%-" : "%";
                line.append(i == 0 ? "" : GAP).append(String.format(pattern + widths[i] + "s", row[i]));
            }
            out.println(line);
        }
    }
}
