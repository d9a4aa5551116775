package org.copperspindle.demo;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/**
 * A text table with aligned columns: the first columns are left-aligned, the others, which hold numbers, right-aligned.
 */
final class TextTable {

    private static final String GAP = "  ";

    private final int leftAlignedColumns;
    private final List<String[]> rows = new ArrayList<>();

    TextTable(int leftAlignedColumns, String... headers) {
        this.leftAlignedColumns = leftAlignedColumns;
        rows.add(headers);
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
                String pattern = i < leftAlignedColumns ? "%-" : "%";
                line.append(i == 0 ? "" : GAP).append(String.format(pattern + widths[i] + "s", row[i]));
            }
            out.println(line);
        }
    }
}
