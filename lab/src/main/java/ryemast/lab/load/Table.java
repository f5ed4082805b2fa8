package ryemast.lab.load;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/** A table that people read as it is and that Markdown renders. */
public final class Table {

    private final List<String> head;
    private final List<List<String>> rows = new ArrayList<>();

    public Table(String... head) {
        this.head = List.of(head);
    }

    public Table row(Object... cells) {
        rows.add(Arrays.stream(cells).map(String::valueOf).toList());
        return this;
    }

    /** The line of a row printed before the table is whole, in columns as wide as the heads. */
    public String headLine() {
        return line(head);
    }

    public String lastLine() {
        return line(rows.get(rows.size() - 1));
    }

    private String line(List<String> cells) {
        var line = new StringBuilder();
        for (int i = 0; i < cells.size(); i++) {
            line.append(i > 0 ? "  " : "").append(padded(cells.get(i), head.get(i).length()));
        }
        return line.toString();
    }

    @Override
    public String toString() {
        var widths = new int[head.size()];
        for (int i = 0; i < widths.length; i++) {
            int column = i;
            widths[i] = Math.max(head.get(i).length(),
                    rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0));
        }
        var lines = new ArrayList<String>();
        lines.add(markdown(head, widths));
        lines.add(Arrays.stream(widths).mapToObj(width -> "-".repeat(width - 1) + ":")
                .collect(Collectors.joining(" | ", "| ", " |")));
        rows.forEach(row -> lines.add(markdown(row, widths)));
        return String.join("\n", lines);
    }

    private static String markdown(List<String> cells, int[] widths) {
        var padded = new ArrayList<String>();
        for (int i = 0; i < widths.length; i++) {
            padded.add(padded(cells.get(i), widths[i]));
        }
        return "| " + String.join(" | ", padded) + " |";
    }

    private static String padded(String text, int width) {
        return " ".repeat(Math.max(0, width - text.length())) + text;
    }
}
