package ryemast.lab.fit;

import java.util.ArrayList;
import java.util.List;

/** What went wrong, as a scenario's timetable. */
record FaultTables(Seen seen, Platform platform, Mishaps mishaps, KindTables kinds) {

    private static final double SECOND = 1e6;

    /** With a replay, what made single jobs heavy or poisoned is in the jobs already. */
    List<Table> tables(boolean withReplay) {
        var tables = new ArrayList<Table>();
        for (var each : mishaps.all()) {
            boolean ofJobs = each.kind().equals("heavy") || each.kind().equals("poisoned");
            if (withReplay && ofJobs) {
                tables.add(new Table("", "fault").remark("found, and in the replayed jobs already: "
                        + words(each)));
            } else if (each.atS().value() >= seen.length() / SECOND) {
                tables.add(new Table("", "fault").remark("found at the recording's end: " + words(each)));
            } else {
                tables.add(table(each));
            }
        }
        return tables;
    }

    String words(Mishap each) {
        var where = each.box() != null ? kinds.name(each.box())
                : each.jobClass() >= 0 ? "class " + platform.classes().get(each.jobClass()).name()
                : "the site";
        return each.kind() + " at " + where + " from " + Figure.text(each.atS().value()) + " s ("
                + each.atS().words() + ") for " + Figure.text(each.forS().value()) + " s (" + each.forS()
                .words()
                + "): " + each.words();
    }

    private Table table(Mishap each) {
        var table = new Table("[[fault]]", "fault " + each.kind());
        table.remark(each.words());
        table.text("kind", each.kind(), "");
        table.figure("at_s", each.atS(), 0, 86_400);
        table.figure("for_s", each.forS(), 0, 86_400);
        if (each.box() != null) {
            table.text("box", kinds.name(each.box()), "");
        }
        if (each.jobClass() >= 0) {
            table.text("class", platform.classes().get(each.jobClass()).name(), "");
        }
        if (each.share().known()) {
            table.figure("share_of_jobs", each.share(), 0, 1);
        }
        if (each.size().known() && !Double.isNaN(each.sizeTo())) {
            double low = Math.max(1, each.size().value());
            table.raw("size", "[" + Table.literal(low) + ", " + Table.literal(Math.max(low, each.sizeTo()))
                    + "]",
                    each.size(), "");
        } else if (each.size().known()) {
            table.figure("size", each.size(), 1, 1_000);
        }
        return table;
    }
}
