package io.zinniawood.report;

import io.vavr.collection.Vector;

/** Renders a report as plain text for a terminal. */
public final class TextRenderer implements Renderer {
  @Override
  public String render(Report report) {
    StringBuilder text = new StringBuilder();
    text.append(DisplayFormat.printable(report.title()))
        .append("\nWritten ")
        .append(DisplayFormat.timeToSecond(report.writtenEpochMillis()))
        .append(" by ")
        .append(DisplayFormat.printable(report.writer()))
        .append(".\n");
    for (Section section : report.sections()) {
      String title = DisplayFormat.printable(section.title());
      text.append('\n').append(title).append('\n').append("-".repeat(title.length())).append('\n');
      section.blocks().forEach(block -> text.append(block.accept(new BlockRenderer())));
    }
    return text.toString();
  }

  private static final class BlockRenderer implements BlockVisitor<String> {
    @Override
    public String visitLine(Block.Line line) {
      return tonePrefix(line.tone()) + DisplayFormat.printable(line.text()) + "\n";
    }

    @Override
    public String visitOutline(Block.Outline outline) {
      return outline
          .items()
          .map(
              item ->
                  "  ".repeat(item.depth())
                      + "- "
                      + tonePrefix(item.tone())
                      + DisplayFormat.printable(item.text())
                      + "\n")
          .mkString();
    }

    @Override
    public String visitTable(Block.Table table) {
      Vector<Vector<String>> rows =
          table
              .rows()
              .prepend(table.columns().map(Block.Column::title))
              .map(row -> row.map(DisplayFormat::printable));
      Vector<Integer> widths =
          Vector.range(0, table.columns().size())
              .map(i -> rows.map(row -> row.get(i).length()).max().getOrElse(0));
      return rows.map(row -> formatRow(table, row, widths)).mkString();
    }

    @Override
    public String visitPlot(Block.Plot plot) {
      Vector<String> lines =
          plot.series()
              .filter(series -> !series.points().isEmpty())
              .map(
                  series ->
                      "%s, %s: last %s, highest %s, limits %s\n"
                          .formatted(
                              DisplayFormat.printable(plot.title()),
                              DisplayFormat.printable(series.name()),
                              DisplayFormat.decimal(series.points().last().value()),
                              DisplayFormat.decimal(
                                  series.points().map(Block.Point::value).max().get()),
                              plot.limits()
                                  .map(limit -> DisplayFormat.decimal(limit.value()))
                                  .mkString(", ")));
      return lines.isEmpty()
          ? DisplayFormat.printable(plot.title()) + ": no values are known.\n"
          : lines.mkString();
    }

    private static String formatRow(Block.Table table, Vector<String> row, Vector<Integer> widths) {
      Vector<String> cells =
          Vector.range(0, row.size())
              .map(
                  i -> {
                    String padding = " ".repeat(widths.get(i) - row.get(i).length());
                    return table.columns().get(i).alignment() == Block.Alignment.RIGHT
                        ? padding + row.get(i)
                        : row.get(i) + padding;
                  });
      return cells.mkString("  ").stripTrailing() + "\n";
    }

    private static String tonePrefix(Tone tone) {
      return switch (tone) {
        case PLAIN, GOOD -> "";
        case WARNING -> "[warning] ";
        case BAD -> "[bad] ";
        case UNKNOWN -> "[not known] ";
      };
    }
  }
}
