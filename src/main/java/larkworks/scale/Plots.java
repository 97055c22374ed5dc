package larkworks.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** A page of plots: the points of each figure and the line fitted to them. No other class needs XChart. */
final class Plots {

    private static final int COLUMNS = 3;
    private static final int WIDTH = 420;
    private static final int HEIGHT = 300;

    private Plots() { }

    /** Writes a PNG; nothing where there is no line to show. */
    static void write(ScaleResult result, Path file) throws IOException {
        if (result.slopes().isEmpty()) {
            return;
        }
        System.setProperty("java.awt.headless", "true");
        List<XYChart> charts = new ArrayList<>(result.slopes().stream().map(Plots::chart).toList());
        while (charts.size() % COLUMNS != 0) {
            XYChart blank = new XYChartBuilder().width(WIDTH).height(HEIGHT).build();
            blank.getStyler().setPlotGridLinesVisible(false).setAxisTicksVisible(false)
                    .setPlotBorderVisible(false);
            charts.add(blank);
        }
        BitmapEncoder.saveBitmap(charts, charts.size() / COLUMNS, COLUMNS, file.toString(), BitmapFormat.PNG);
    }

    private static XYChart chart(Slope slope) {
        XYChart chart = new XYChartBuilder().width(WIDTH).height(HEIGHT).title(slope.what())
                .xAxisTitle(slope.against()).build();
        chart.getStyler().setLegendVisible(false).setChartTitleFont(
                chart.getStyler().getChartTitleFont().deriveFont(11f));
        double[] x = slope.points().stream().mapToDouble(Slope.Point::x).toArray();
        chart.addSeries("measured", x, slope.points().stream().mapToDouble(Slope.Point::y).toArray())
                .setLineStyle(org.knowm.xchart.style.lines.SeriesLines.NONE);
        double[] ends = {x[0], x[x.length - 1]};
        chart.addSeries("fitted", ends, new double[] {slope.at(ends[0]), slope.at(ends[1])})
                .setMarker(SeriesMarkers.NONE);
        return chart;
    }
}
