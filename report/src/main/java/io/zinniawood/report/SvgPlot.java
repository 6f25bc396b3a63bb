package io.zinniawood.report;

import io.vavr.collection.Vector;
import java.util.Locale;

/** Renders a plot as an SVG figure for HTML pages; lengths are in SVG units. */
final class SvgPlot {
  private static final int WIDTH = 340;
  private static final int HEIGHT = 170;
  private static final int LEFT_MARGIN = 38;
  private static final int TOP_MARGIN = 10;
  private static final int BOTTOM_MARGIN = 24;
  private static final String[] COLOURS = {"#3b78c2", "#c2662d", "#4c9a52", "#8a5cb5"};

  /** More points would put several into each pixel column of a phone screen. */
  private static final int MAX_POINTS_PER_SERIES = 400;

  private final double axisMaxValue;
  private final long fromMillis;
  private final long toMillis;

  private SvgPlot(double axisMaxValue, long fromMillis, long toMillis) {
    this.axisMaxValue = axisMaxValue;
    this.fromMillis = fromMillis;
    this.toMillis = toMillis;
  }

  static String draw(Block.Plot plot) {
    Vector<Block.Point> points = plot.series().flatMap(Block.Series::points);
    if (points.isEmpty()) {
      return "<p class=\"unknown\">%s: no values are known.</p>\n"
          .formatted(HtmlRenderer.escape(plot.title()));
    }
    double maxValue =
        points
            .map(Block.Point::value)
            .appendAll(plot.limits().map(Block.Limit::value))
            .max()
            .getOrElse(1.0);
    SvgPlot scaledPlot =
        new SvgPlot(
            maxValue > 0 ? maxValue * 1.1 : 1,
            points.map(Block.Point::epochMillis).min().get(),
            points.map(Block.Point::epochMillis).max().get());
    return scaledPlot.render(plot);
  }

  private String render(Block.Plot plot) {
    String title = HtmlRenderer.escape(plot.title());
    StringBuilder svg =
        new StringBuilder(
            "<figure>\n<svg viewBox=\"0 0 %d %d\" role=\"img\" aria-label=\"%s\">\n"
                .formatted(WIDTH, HEIGHT, title));
    svg.append(text(2, TOP_MARGIN + 8, "start", DisplayFormat.decimal(axisMaxValue)))
        .append(text(2, HEIGHT - BOTTOM_MARGIN, "start", "0"))
        .append(text(LEFT_MARGIN, HEIGHT - 8, "start", DisplayFormat.timeToMinute(fromMillis)))
        .append(
            text(
                WIDTH - 2,
                HEIGHT - 8,
                "end",
                fromMillis == toMillis ? "" : DisplayFormat.timeToMinute(toMillis)))
        .append(
            line(
                LEFT_MARGIN,
                y(0),
                WIDTH - 2,
                y(0),
                "stroke=\"currentColor\" stroke-opacity=\"0.5\""));
    for (Block.Limit limit : plot.limits()) {
      svg.append(
              line(
                  LEFT_MARGIN,
                  y(limit.value()),
                  WIDTH - 2,
                  y(limit.value()),
                  "stroke=\"#b3261e\" stroke-dasharray=\"4 3\""))
          .append(
              text(
                  WIDTH - 4, (int) y(limit.value()) - 3, "end", HtmlRenderer.escape(limit.name())));
    }
    for (int i = 0; i < plot.series().size(); i++) {
      svg.append(polyline(plot.series().get(i), COLOURS[i % COLOURS.length]));
    }
    return svg.append(
            "</svg>\n<figcaption>%s (%s)%s</figcaption>\n</figure>\n"
                .formatted(title, HtmlRenderer.escape(plot.unit()), legend(plot)))
        .toString();
  }

  private static String legend(Block.Plot plot) {
    if (plot.series().size() < 2) {
      return "";
    }
    return plot.series()
        .zipWithIndex()
        .map(
            entry ->
                "<span style=\"color:%s\">&#9632;</span> %s"
                    .formatted(
                        COLOURS[entry._2() % COLOURS.length],
                        HtmlRenderer.escape(entry._1().name())))
        .mkString(": ", ", ", "");
  }

  private String polyline(Block.Series series, String colour) {
    if (series.points().size() == 1) {
      // A polyline with a single point is invisible, so the point is drawn as a circle.
      Block.Point point = series.points().head();
      return String.format(
          Locale.ROOT,
          "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3\" fill=\"%s\"/>\n",
          x(point.epochMillis()),
          y(point.value()),
          colour);
    }
    int stride =
        Math.max(1, (series.points().size() + MAX_POINTS_PER_SERIES - 1) / MAX_POINTS_PER_SERIES);
    // Each group is reduced to its largest value, because an average would hide a short peak.
    String points =
        series
            .points()
            .grouped(stride)
            .map(group -> group.maxBy(Block.Point::value).get())
            .map(
                point ->
                    String.format(
                        Locale.ROOT, "%.1f,%.1f", x(point.epochMillis()), y(point.value())))
            .mkString(" ");
    return "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\" points=\"%s\"/>\n"
        .formatted(colour, points);
  }

  private double x(long epochMillis) {
    double span = Math.max(1, toMillis - fromMillis);
    return LEFT_MARGIN + (epochMillis - fromMillis) / span * (WIDTH - 2 - LEFT_MARGIN);
  }

  private double y(double value) {
    return HEIGHT
        - BOTTOM_MARGIN
        - Math.max(0, value) / axisMaxValue * (HEIGHT - BOTTOM_MARGIN - TOP_MARGIN);
  }

  private static String line(double x1, double y1, double x2, double y2, String style) {
    return String.format(
        Locale.ROOT,
        "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" %s/>\n",
        x1,
        y1,
        x2,
        y2,
        style);
  }

  private static String text(int x, int y, String anchor, String escaped) {
    return "<text x=\"%d\" y=\"%d\" text-anchor=\"%s\" %s>%s</text>\n"
        .formatted(x, y, anchor, "font-size=\"9\" fill=\"currentColor\"", escaped);
  }
}
