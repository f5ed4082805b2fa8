package ryemast.lab.fit;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;

/** What was fitted, as a scenario file for people and as JSON for programs. */
public final class ScenarioText {

    private static final int WIDTH = 110;

    private ScenarioText() {
    }

    /** {@code replay}: the file of the jobs, beside the scenario; may be null. */
    public static String toml(Fitted fitted, List<String> recordings, String replay) {
        var out = new StringBuilder();
        comment(out, "Fitted by 'lab fit' to " + String.join(", ", recordings)
                + ". Behind each figure stand its 95%"
                + " interval and what it rests on; what has none is told by the platform's settings or is a "
                + "default.");
        section(out, "The recording:", fitted.warnings());
        section(out, "What can't be told from it:", fitted.untold());
        for (var table : fitted.tables()) {
            out.append('\n');
            if (!table.header.isEmpty()) {
                out.append(table.header).append('\n');
            }
            table.remarks.forEach(each -> comment(out, each));
            for (var line : table.lines) {
                var value = line.key().equals("replay") ? Table.quoted(replay) : line.value();
                var behind = new ArrayList<String>();
                if (!line.remark().isEmpty()) {
                    behind.add(line.remark());
                }
                if (line.figure() != null) {
                    behind.add(line.figure().words());
                }
                var words = String.join("; ", behind);
                var text = line.key() + " = " + value;
                if (words.isEmpty()) {
                    out.append(text).append('\n');
                } else if (text.length() + words.length() + 4 <= WIDTH) {
                    out.append(text).append("  # ").append(words).append('\n');
                } else {
                    comment(out, words);
                    out.append(text).append('\n');
                }
            }
        }
        return out.toString();
    }

    private static void section(StringBuilder out, String head, List<String> lines) {
        if (!lines.isEmpty()) {
            out.append("#\n");
            comment(out, head);
            lines.forEach(each -> comment(out, "- " + each));
        }
    }

    private static void comment(StringBuilder out, String words) {
        var line = new StringBuilder("#");
        for (var word : words.replaceAll("\\p{Cntrl}", " ").split(" ")) {
            if (line.length() + word.length() + 1 > WIDTH && line.length() > 1) {
                out.append(line).append('\n');
                line = new StringBuilder("#  ");
            }
            line.append(' ').append(word);
        }
        out.append(line).append('\n');
    }

    /** Every estimate with its interval, every mishap, and what is untold. */
    public static JsonObject json(Fitted fitted) {
        var json = new JsonObject();
        json.addProperty("title", fitted.title());
        var figures = new JsonArray();
        for (var table : fitted.tables()) {
            for (var line : table.lines) {
                if (line.figure() != null && !table.name.startsWith("fault")) {
                    var one = new JsonObject();
                    one.addProperty("table", table.name);
                    one.addProperty("key", line.key());
                    add(one, line.figure());
                    figures.add(one);
                }
            }
        }
        json.add("figures", figures);
        var faults = new JsonArray();
        for (var each : fitted.mishaps()) {
            var one = new JsonObject();
            one.addProperty("kind", each.kind());
            one.addProperty("box", each.box() == null ? null : each.box().number);
            one.addProperty("class", each.jobClass() < 0 ? null : each.jobClass());
            one.add("at_s", figure(each.atS()));
            one.add("for_s", figure(each.forS()));
            one.add("share_of_jobs", figure(each.share()));
            one.add("size", figure(each.size()));
            one.addProperty("words", each.words());
            faults.add(one);
        }
        json.add("faults", faults);
        json.add("untold", texts(fitted.untold()));
        json.add("warnings", texts(fitted.warnings()));
        return json;
    }

    private static JsonObject figure(Figure figure) {
        if (!figure.known()) {
            return null;
        }
        var one = new JsonObject();
        add(one, figure);
        return one;
    }

    private static void add(JsonObject to, Figure figure) {
        to.addProperty("value", finite(figure.value()));
        to.addProperty("low", finite(figure.low()));
        to.addProperty("high", finite(figure.high()));
        to.addProperty("samples", figure.samples());
        to.addProperty("what", figure.what());
    }

    private static Double finite(double value) {
        return Double.isFinite(value) ? value : null;
    }

    private static JsonArray texts(List<String> texts) {
        var array = new JsonArray();
        texts.forEach(array::add);
        return array;
    }
}
