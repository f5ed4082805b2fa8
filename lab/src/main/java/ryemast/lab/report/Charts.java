package ryemast.lab.report;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.CategorySeries.CategorySeriesRenderStyle;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.AxesChartStyler;
import org.knowm.xchart.style.Styler.LegendLayout;
import org.knowm.xchart.style.Styler.LegendPosition;
import org.knowm.xchart.style.markers.SeriesMarkers;
import ryemast.lab.compare.Compared;
import ryemast.lab.model.Spread;

/**
 * The plots of a comparison as SVG, by XChart: both arms in each, their means over the runs with 95%
 * intervals as bars. Letters are drawn as outlines, so that a page looks the same wherever it is read.
 */
final class Charts {

    static final Color A = new Color(0x1f6fb4);
    static final Color B = new Color(0xd9711c);

    private static final int WIDTH = 760;
    private static final int HEIGHT = 330;
    private static final Color INK = new Color(0x3c4450);
    private static final Color GRID = new Color(0xe3e7ec);
    private static final Font SMALL = new Font(Font.SANS_SERIF, Font.PLAIN, 12);
    /** A tenth of a pixel can't be seen; further digits are half of a page. */
    private static final Pattern TOO_EXACT = Pattern.compile("(\\d\\.\\d\\d)\\d+");
    /** More categories than this can't be told apart with slanted names. */
    private static final int MANY = 12;

    private final Compared compared;
    private final List<JsonObject> a;
    private final List<JsonObject> b;

    Charts(Compared compared) {
        this.compared = compared;
        a = compared.paired(true);
        b = compared.paired(false);
    }

    /** Worth answered in time over the run; {@code width}: seconds of a stretch. */
    String overTime(double width) {
        var chart = lines("seconds since the first job", "worth answered in time");
        int stretches = 0;
        for (var row : a) {
            stretches = Math.max(stretches, row.getAsJsonArray("over_time").size());
        }
        for (boolean ofA : new boolean[] {true, false}) {
            var at = new ArrayList<Double>();
            var means = new ArrayList<Spread>();
            for (int i = 0; i < stretches; i++) {
                int one = i;
                var spread = over(ofA, row -> element(row, "over_time", one));
                if (spread.runs() > 0) {
                    // The two side by side, so that neither hides the other's bars.
                    at.add((i + (ofA ? 0.46 : 0.54)) * width);
                    means.add(spread);
                }
            }
            line(chart, ofA, at, means);
        }
        chart.getStyler().setYAxisMax(1.0);
        chart.getStyler().setYAxisDecimalPattern("0.00");
        return svg(chart);
    }

    /** How long served jobs took, over the part of them that was faster; both axes logarithmic. */
    String latency(double[] parts) {
        var chart = lines("part of the served jobs that took no longer", "milliseconds");
        for (boolean ofA : new boolean[] {true, false}) {
            var at = new ArrayList<Double>();
            var means = new ArrayList<Spread>();
            for (int i = 0; i < parts.length; i++) {
                int one = i;
                var spread = over(ofA, row -> element(row, "curve", one));
                if (spread.runs() > 0 && spread.mean() > 0) {
                    at.add(-Math.log10(1 - parts[i]));
                    means.add(spread);
                }
            }
            line(chart, ofA, at, means);
        }
        chart.getStyler().setYAxisLogarithmic(true);
        chart.getStyler().setxAxisTickLabelsFormattingFunction(nines -> {
            // 90%, 99%, 99.9%: whatever lies between has no round name.
            boolean whole = Math.abs(nines - Math.rint(nines)) < 0.01;
            return whole ? new BigDecimal(100 * (1 - Math.pow(10, -Math.rint(nines))))
                    .setScale(Math.max(0, (int) Math.rint(nines) - 2), RoundingMode.HALF_UP) + "%" : "";
        });
        return svg(chart);
    }

    /** The part of its time that each box, or kind of box, was busy. */
    String use() {
        // One by one only where all runs had the same boxes.
        boolean same = a.stream().allMatch(row -> row.has("use_of_boxes")
                && row.getAsJsonObject("use_of_boxes")
                .keySet().equals(a.get(0).getAsJsonObject("use_of_boxes").keySet()));
        return bars("part of the time busy", row -> row.getAsJsonObject(same ? "use_of_boxes" : "use"),
                each -> each);
    }

    /** Worth answered in time by class or by account. */
    String groups(String key) {
        return bars("worth answered in time", row -> row.getAsJsonObject(key),
                each -> each.getAsJsonObject().get("in_time"));
    }

    private String bars(String title, Function<JsonObject, JsonObject> groups,
            Function<JsonElement, JsonElement> figure) {
        var names = new LinkedHashSet<String>();
        a.forEach(row -> names.addAll(groups.apply(row).keySet()));
        if (names.isEmpty()) {
            return "";
        }
        var sorted = names.stream().sorted().toList();
        var chart = new CategoryChartBuilder().width(WIDTH).height(HEIGHT).yAxisTitle(title).build();
        style(chart.getStyler());
        chart.getStyler().setAvailableSpaceFill(0.72);
        chart.getStyler().setYAxisMin(0.0);
        chart.getStyler().setYAxisDecimalPattern("0.0");
        if (sorted.size() > MANY) {
            chart.getStyler().setXAxisLabelRotation(60);
        }
        for (boolean ofA : new boolean[] {true, false}) {
            var means = new ArrayList<Double>();
            var halves = new ArrayList<Double>();
            for (var name : sorted) {
                var spread = over(ofA, row -> groups.apply(row).has(name)
                        ? figure.apply(groups.apply(row).get(name)) : null);
                means.add(spread.runs() == 0 ? 0 : spread.mean());
                halves.add(spread.runs() < 2 ? 0 : spread.half());
            }
            var series = chart.addSeries(ofA ? "A" : "B", sorted, means, halves);
            series.setFillColor(ofA ? A : B);
            series.setChartCategorySeriesRenderStyle(CategorySeriesRenderStyle.Bar);
        }
        return svg(chart);
    }

    /** Each run's difference in service, in the order of seeds. */
    String differences(double[] differences) {
        var chart = lines("run", "service of A less that of B");
        var at = new ArrayList<Double>();
        var values = new ArrayList<Double>();
        for (int i = 0; i < differences.length; i++) {
            at.add(i + 1.0);
            values.add(differences[i]);
        }
        var series = chart.addSeries("A - B", at, values);
        series.setLineStyle(new BasicStroke(0));
        series.setLineColor(new Color(0, 0, 0, 0));
        series.setMarker(SeriesMarkers.CIRCLE);
        series.setMarkerColor(INK);
        chart.getStyler().setYAxisDecimalPattern("0.000");
        var zero = chart.addSeries("no difference", List.of(0.0, differences.length + 1.0),
                List.of(0.0, 0.0));
        zero.setMarker(SeriesMarkers.NONE);
        zero.setLineColor(B);
        return svg(chart);
    }

    private static JsonElement element(JsonObject row, String key, int index) {
        var array = row.getAsJsonArray(key);
        return index < array.size() ? array.get(index) : null;
    }

    private Spread over(boolean ofA, Function<JsonObject, JsonElement> figure) {
        return Spread.of((ofA ? a : b).stream().map(figure).filter(value -> value != null
                && !value.isJsonNull())
                .mapToDouble(JsonElement::getAsDouble).toArray());
    }

    private static XYChart lines(String xTitle, String yTitle) {
        var chart = new XYChartBuilder().width(WIDTH).height(HEIGHT).xAxisTitle(xTitle).yAxisTitle(yTitle)
                .build();
        style(chart.getStyler());
        return chart;
    }

    private static void line(XYChart chart, boolean ofA, List<Double> at, List<Spread> means) {
        if (at.isEmpty()) {
            return;
        }
        var series = chart.addSeries(ofA ? "A" : "B", at, means.stream().map(Spread::mean).toList(),
                means.stream().map(each -> each.runs() < 2 ? 0.0 : each.half()).toList());
        series.setLineColor(ofA ? A : B);
        series.setLineStyle(new BasicStroke(2));
        series.setMarkerColor(ofA ? A : B);
        series.setMarker(SeriesMarkers.CIRCLE);
    }

    private static void style(AxesChartStyler styler) {
        styler.setChartBackgroundColor(Color.WHITE);
        styler.setPlotBackgroundColor(Color.WHITE);
        styler.setPlotBorderVisible(false);
        styler.setPlotGridLinesColor(GRID);
        styler.setPlotGridVerticalLinesVisible(false);
        styler.setAxisTickLabelsFont(SMALL);
        styler.setAxisTitleFont(SMALL);
        styler.setAxisTickLabelsColor(INK);
        styler.setXAxisTitleColor(INK);
        styler.setYAxisTitleColor(INK);
        styler.setChartFontColor(INK);
        styler.setLegendFont(SMALL);
        styler.setLegendBorderColor(Color.WHITE);
        styler.setLegendPosition(LegendPosition.OutsideS);
        styler.setLegendLayout(LegendLayout.Horizontal);
        styler.setErrorBarsColor(INK);
        styler.setMarkerSize(5);
        styler.setLocale(Locale.ROOT);
    }

    /** Without the head that only a file of its own has. */
    private static String svg(Chart<?, ?> chart) {
        var out = new ByteArrayOutputStream();
        try {
            VectorGraphicsEncoder.saveVectorGraphic(chart, out, VectorGraphicsFormat.SVG);
        } catch (IOException e) {
            throw new IllegalStateException("a picture in memory can't fail to be written", e);
        }
        var text = out.toString(StandardCharsets.UTF_8);
        return TOO_EXACT.matcher(text.substring(text.indexOf("<svg"))).replaceAll("$1");
    }
}
