package io.zinniawood.report;

/**
 * Visitor with one method for each type of {@link Block}.
 *
 * @param <R> result of a visit, for example the rendered text
 */
public interface BlockVisitor<R> {
  /** Visits a paragraph. */
  R visitLine(Block.Line line);

  /** Visits a list with indented effects. */
  R visitOutline(Block.Outline outline);

  /** Visits a table. */
  R visitTable(Block.Table table);

  /** Visits a plot. */
  R visitPlot(Block.Plot plot);
}
