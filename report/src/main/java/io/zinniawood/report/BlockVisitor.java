package io.zinniawood.report;

/**
 * Handles each type of block.
 *
 * @param <R> result type
 */
public interface BlockVisitor<R> {
  /** Visits a line. */
  R visitLine(Block.Line line);

  /** Visits an outline. */
  R visitOutline(Block.Outline outline);

  /** Visits a table. */
  R visitTable(Block.Table table);

  /** Visits a plot. */
  R visitPlot(Block.Plot plot);
}
