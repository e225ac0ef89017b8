package cacheproxy.lab.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.awt.geom.Rectangle2D;
import java.util.List;
import java.util.Map;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.plot.IntervalMarker;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.chart.ui.RectangleAnchor;
import org.jfree.chart.ui.TextAnchor;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;

/** Line chart over time as SVG, with faults shaded behind the lines. */
final class LineChart {
    private static final int WIDTH = 860;
    private static final int HEIGHT = 260;
    /** Colours safe for colour-blind readers (Okabe and Ito). */
    private static final Color[] COLOURS = {
        new Color(0x0072B2),
        new Color(0xD55E00),
        new Color(0x009E73),
        new Color(0xCC79A7),
        new Color(0x56B4E9),
        new Color(0xE69F00),
        new Color(0x444444)
    };

    /** A shaded span, in seconds. */
    record Shade(double from, double to, String name) {}

    private LineChart() {}

    /**
     * Draws one value per second for each line; {@code from} and {@code to} bound the axis, or are both 0 to fit it.
     */
    static String lines(
            String title, String unit, Map<String, double[]> lines, List<Shade> shades, double from, double to) {
        XYSeriesCollection data = new XYSeriesCollection();
        lines.forEach((name, values) -> {
            XYSeries s = new XYSeries(name);
            for (int i = 0; i < values.length; i++) {
                if (Double.isFinite(values[i])) {
                    s.add(i + 0.5, values[i]);
                }
            }
            data.addSeries(s);
        });
        JFreeChart chart = ChartFactory.createXYLineChart(
                title, "seconds", unit, data, PlotOrientation.VERTICAL, true, false, false);
        chart.setBackgroundPaint(Color.WHITE);
        chart.getTitle().setFont(new Font(Font.SANS_SERIF, Font.BOLD, 13));
        XYPlot plot = chart.getXYPlot();
        plot.setBackgroundPaint(Color.WHITE);
        plot.setDomainGridlinePaint(new Color(0xE0E0E0));
        plot.setRangeGridlinePaint(new Color(0xE0E0E0));
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, false);
        for (int i = 0; i < data.getSeriesCount(); i++) {
            renderer.setSeriesPaint(i, COLOURS[i % COLOURS.length]);
            renderer.setSeriesStroke(
                    i,
                    i < COLOURS.length
                            ? new BasicStroke(1.8f)
                            : new BasicStroke(
                                    1.8f, BasicStroke.CAP_BUTT, BasicStroke.JOIN_BEVEL, 1, new float[] {5, 3}, 0));
        }
        plot.setRenderer(renderer);
        NumberAxis axis = (NumberAxis) plot.getRangeAxis();
        if (from != to) {
            axis.setRange(from, to);
        } else {
            axis.setAutoRangeIncludesZero(true);
        }
        for (Shade s : shades) {
            IntervalMarker m = new IntervalMarker(s.from, Math.max(s.to, s.from + 0.3), new Color(0xF3D9B1));
            m.setAlpha(0.5f);
            m.setLabel(s.name);
            m.setLabelFont(new Font(Font.SANS_SERIF, Font.PLAIN, 10));
            m.setLabelAnchor(RectangleAnchor.TOP_LEFT);
            m.setLabelTextAnchor(TextAnchor.TOP_LEFT);
            plot.addDomainMarker(m, org.jfree.chart.ui.Layer.BACKGROUND);
        }
        SVGGraphics2D g = new SVGGraphics2D(WIDTH, HEIGHT);
        chart.draw(g, new Rectangle2D.Double(0, 0, WIDTH, HEIGHT));
        return g.getSVGElement();
    }
}
