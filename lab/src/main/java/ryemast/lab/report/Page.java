package ryemast.lab.report;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Locale;
import java.util.logging.Level;
import java.util.logging.Logger;
import ryemast.lab.compare.CompareWords;
import ryemast.lab.compare.Compared;
import ryemast.lab.compare.Metric;
import ryemast.lab.compare.Paired;
import ryemast.lab.scenario.Scenario;

/**
 * A comparison as one self-contained page: nothing in it is fetched from anywhere, and it needs no scripts.
 * Where no plots can be drawn (a machine without any fonts), the page has its figures alone and says so.
 */
public final class Page {

    private static final Logger LOG = Logger.getLogger(Page.class.getName());
    private static final String NAME = "index.html";
    private static final double MICROS_PER_S = 1e6;
    private static final int BAR = 260;
    private static final int BAR_HEIGHT = 18;

    private final Compared compared;
    private final Scenario scenario;
    private final StringBuilder out = new StringBuilder();

    private Page(Compared compared, Scenario scenario) {
        this.compared = compared;
        this.scenario = scenario;
    }

    /** Checks that a page can go there, before the runs that it is to show. */
    public static String fault(Path folder) {
        if (Files.exists(folder) && !Files.isDirectory(folder)) {
            return folder + ": is no folder";
        }
        var there = folder.toAbsolutePath();
        while (there != null && !Files.exists(there)) {
            there = there.getParent();
        }
        return there != null && Files.isWritable(there) ? null : folder + ": can't be written to";
    }

    /** {@code scenario}: as the first seed draws it. Returns the page's file. */
    public static Path write(Path folder, Compared compared, Scenario scenario) throws IOException {
        System.setProperty("java.awt.headless", "true");
        Files.createDirectories(folder);
        var file = folder.resolve(NAME);
        // Not a temporary file of the system's: others would not be allowed to read that.
        var part = folder.resolve("." + NAME + ".part");
        try {
            Files.writeString(part, new Page(compared, scenario).html());
            Files.move(part, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        } finally {
            Files.deleteIfExists(part);
        }
        return file;
    }

    private String html() throws IOException {
        out.append("<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n<meta "
                + "name=\"viewport\" "
                + "content=\"width=device-width, initial-scale=1\">\n<title>")
                .append(text(compared.scenario()))
                .append(": A against B</title>\n<style>").append(style()).append("</style></head><body>\n");
        head();
        figures();
        plots();
        out.append(new Assumptions(compared, scenario).html());
        return out.append("</body></html>\n").toString();
    }

    private static String style() throws IOException {
        try (InputStream in = Page.class.getResourceAsStream("page.css")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private void head() {
        var verdict = compared.done().verdict();
        out.append("<header><p class=\"what\">").append(text(compared.scenario())).append(": ")
                .append(text(compared.title())).append("</p>\n<h1 class=\"").append(verdict.word().name()
                .toLowerCase(Locale.ROOT)).append("\">").append(text(CompareWords.verdict(compared)))
                .append("</h1>\n<p><b class=\"a\">A</b> ").append(text(compared.plan().a().spec()))
                .append(" <span class=\"dim\">").append(text(compared.plan().a().words()))
                .append("</span></p>\n<p><b class=\"b\">B</b> ").append(text(compared.plan().b().spec()))
                .append(" <span class=\"dim\">").append(text(compared.plan().b().words()))
                .append("</span></p></header>\n");
    }

    private void figures() {
        out.append("<section><h2>Figures</h2>\n<table><thead><tr><th></th><th>A</th><th>B</th><th>A - B</th>"
                + "<th>95% of it</th><th></th><th>A better</th></tr></thead><tbody>\n");
        var differences = compared.differences();
        double shares = scale(differences.keySet().stream().filter(Page::isShare).map(differences::get)
                .toList());
        differences.forEach((metric, paired) -> {
            double most = isShare(metric) ? shares : scale(List.of(paired));
            out.append("<tr").append(metric == Metric.SERVICE ? " class=\"main\"" : "").append("><th>")
                    .append(text(metric.words())).append("</th>");
            cell(CompareWords.figure(Compared.spread(compared.paired(true), metric).mean(), false));
            cell(CompareWords.figure(Compared.spread(compared.paired(false), metric).mean(), false));
            cell(CompareWords.figure(paired.mean(), true));
            cell(paired.runs() < 2 ? "" : CompareWords.figure(paired.low(), true) + " to "
                    + CompareWords.figure(paired.high(), true));
            out.append("<td>").append(bar(paired, most, metric.upwards())).append("</td>");
            cell(paired.runs() < 2 || paired.deviation() == 0 ? ""
                    : CompareWords.percent(metric.better(paired)));
            out.append("</tr>\n");
        });
        out.append("</tbody></table>\n<p class=\"dim\">Bars: the interval of A - B and its mean, the upright "
                + "line "
                + "where there is no difference; blue where A is better for certain, orange where B is, grey "
                + "where "
                + "neither is. All shares are on one scale, each other figure is on its "
                + "own.</p></section>\n");
    }

    private static boolean isShare(Metric metric) {
        return !metric.key().startsWith("latency") && !metric.key().equals("attempts_per_job");
    }

    private static double scale(List<Paired> all) {
        return all.stream().filter(each -> each.runs() > 1)
                .mapToDouble(each -> Math.max(Math.abs(each.low()), Math.abs(each.high()))).max().orElse(0);
    }

    private void cell(String words) {
        out.append("<td>").append(text(words)).append("</td>");
    }

    /** An interval about no difference; not a chart of the library's, which has none that lies in a table. */
    private static String bar(Paired paired, double most, boolean upwards) {
        if (paired.runs() < 2 || most <= 0) {
            return "";
        }
        double middle = BAR / 2.0;
        double unit = (middle - 4) / most;
        double from = middle + paired.low() * unit;
        double to = middle + paired.high() * unit;
        boolean sure = paired.low() > 0 || paired.high() < 0;
        var colour = !sure ? "none" : paired.mean() > 0 == upwards ? "a" : "b";
        return String.format(Locale.ROOT, "<svg width=\"%d\" height=\"%d\" role=\"img\"><line class=\"zero\" "
                + "x1=\"%.1f\" x2=\"%.1f\" y1=\"0\" y2=\"%d\"/><rect class=\"%s\" x=\"%.1f\" y=\"6\" "
                + "width=\"%.1f\" "
                + "height=\"6\" rx=\"2\"/><circle class=\"%s\" cx=\"%.1f\" cy=\"9\" r=\"4.5\"/></svg>", BAR,
                BAR_HEIGHT, middle, middle, BAR_HEIGHT, colour, from, Math.max(1, to - from), colour,
                middle + paired.mean() * unit);
    }

    private void plots() {
        try {
            var charts = new Charts(compared);
            double width = Math.max(1, scenario.length() / 30) / MICROS_PER_S;
            out.append("<div class=\"plots\">\n");
            plot("Service over time", "Worth answered in time, by when jobs came. Mean over the runs; bars "
                    + "are 95% "
                    + "intervals.", charts.overTime(width));
            plot("Latency", "How long served jobs took, from when they were due. Read: of 99% of them, none "
                    + "took "
                    + "longer than the curve's height there.", charts.latency(Compared.PARTS));
            plot("Use of boxes", "The part of its time that each was busy.", charts.use());
            plot("Classes", "Worth answered in time, by class.", charts.groups("by_class"));
            plot("Accounts", "Worth answered in time, by account.", charts.groups("by_tenant"));
            plot("Run by run", "Each point is one seed: the same site, jobs and faults for both.",
                    charts.differences(compared.done().rows().differences(Metric.SERVICE.of())));
            out.append("</div>\n");
        } catch (RuntimeException | Error e) {
            // Errors too: without any font the runtime's own drawing fails with one.
            LOG.log(Level.WARNING, "the report has no plots, as this Java can't draw: " + e);
            out.append("</div><p>No plots: the machine that made this page can't draw letters (is a font "
                    + "installed?).</p>\n");
        }
    }

    private void plot(String title, String words, String svg) {
        if (!svg.isEmpty()) {
            out.append("<section><h2>").append(text(title)).append("</h2><p class=\"dim\">")
                    .append(text(words))
                    .append("</p>\n").append(svg).append("</section>\n");
        }
    }

    static String text(String words) {
        return words.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
    }
}
