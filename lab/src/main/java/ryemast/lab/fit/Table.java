package ryemast.lab.fit;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** One table of the scenario to be written: keys in order, each with what it rests on. */
final class Table {

    /** @param figure  null where the key is no estimate; {@code remark} may be empty */
    record Line(String key, String value, Figure figure, String remark) {
    }

    final String header;
    final String name;
    final List<String> remarks = new ArrayList<>();
    final List<Line> lines = new ArrayList<>();

    /**
     * {@code header}: as in the file, with its brackets; empty for the top. {@code name}: tells it from
     * others.
     */
    Table(String header, String name) {
        this.header = header;
        this.name = name;
    }

    Table remark(String words) {
        remarks.add(words);
        return this;
    }

    Table text(String key, String value, String remark) {
        lines.add(new Line(key, quoted(value), null, remark));
        return this;
    }

    Table number(String key, double value, String remark) {
        lines.add(new Line(key, literal(value), null, remark));
        return this;
    }

    Table flag(String key, boolean value, String remark) {
        lines.add(new Line(key, String.valueOf(value), null, remark));
        return this;
    }

    /** An estimate, kept within what the key may hold; left out if it is not known, and said to be. */
    Table figure(String key, Figure figure, double least, double most) {
        if (!figure.known()) {
            remarks.add(key + " is not fitted (" + figure.what() + "): the default holds");
            return this;
        }
        double value = Math.max(least, Math.min(most, figure.value()));
        lines.add(new Line(key, literal(value), figure, ""));
        return this;
    }

    Table raw(String key, String value, Figure figure, String remark) {
        lines.add(new Line(key, value, figure, remark));
        return this;
    }

    static String literal(double value) {
        if (value == Math.rint(value) && Math.abs(value) < 1e15) {
            return String.valueOf((long) value);
        }
        return String.format(Locale.ROOT, "%.6g", value).replaceFirst("(\\.\\d*?)0+$", "$1")
                .replaceFirst("\\.$", "");
    }

    static String quoted(String value) {
        return "\"" + value.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }
}
