package io.zinniawood.report;

import io.vavr.collection.Vector;

/** Content element of a report section; the nested records are its types. */
public sealed interface Block {
  /** Calls the visitor's method for the type of this block. */
  <R> R accept(BlockVisitor<R> visitor);

  /**
   * A paragraph of one or more sentences.
   *
   * @param tone importance for the reader
   * @param text plain text; renderers escape it
   */
  record Line(Tone tone, String text) implements Block {
    @Override
    public <R> R accept(BlockVisitor<R> visitor) {
      return visitor.visitLine(this);
    }
  }

  /**
   * List of sentences in which effects are indented below their cause.
   *
   * @param items sentences in the order of display
   */
  record Outline(Vector<Item> items) implements Block {
    @Override
    public <R> R accept(BlockVisitor<R> visitor) {
      return visitor.visitOutline(this);
    }
  }

  /**
   * Sentence of an outline.
   *
   * @param depth indentation level: 0 for a root cause, one more for each effect below it
   * @param tone importance for the reader
   * @param text plain text; renderers escape it
   */
  record Item(int depth, Tone tone, String text) {}

  /**
   * A table.
   *
   * @param columns titles and alignments, from left to right
   * @param rows rows, each with one cell for each column
   */
  record Table(Vector<Column> columns, Vector<Vector<String>> rows) implements Block {
    /** Checks that each row has as many cells as there are columns. */
    public Table {
      int width = columns.size();
      if (!rows.forAll(row -> row.size() == width)) {
        throw new IllegalArgumentException(
            "each table row must have %d cells, one for each column".formatted(width));
      }
    }

    @Override
    public <R> R accept(BlockVisitor<R> visitor) {
      return visitor.visitTable(this);
    }
  }

  /**
   * Column of a table.
   *
   * @param title heading of the column
   * @param alignment alignment of the heading and the cells
   */
  record Column(String title, Alignment alignment) {
    /** Returns a left-aligned column for text. */
    public static Column text(String title) {
      return new Column(title, Alignment.LEFT);
    }

    /** Returns a right-aligned column for numbers. */
    public static Column number(String title) {
      return new Column(title, Alignment.RIGHT);
    }
  }

  /** Horizontal alignment of a column. */
  enum Alignment {
    /** Used for text. */
    LEFT,
    /** Used for numbers. */
    RIGHT
  }

  /**
   * Line plot of values over time.
   *
   * @param title title of the plot
   * @param unit unit of the values, for example "times the sustainable rate"
   * @param series lines of the plot
   * @param limits horizontal reference lines
   */
  record Plot(String title, String unit, Vector<Series> series, Vector<Limit> limits)
      implements Block {
    @Override
    public <R> R accept(BlockVisitor<R> visitor) {
      return visitor.visitPlot(this);
    }
  }

  /**
   * Line of a plot.
   *
   * @param name label in the legend
   * @param points points in ascending order of time
   */
  record Series(String name, Vector<Point> points) {}

  /**
   * Point of a plot.
   *
   * @param epochMillis time in milliseconds since 1970
   * @param value finite number in the unit of the plot
   */
  record Point(long epochMillis, double value) {
    /** Rejects a value that is infinite or not a number. */
    public Point {
      if (!Double.isFinite(value)) {
        throw new IllegalArgumentException("value of a plot point must be finite, but is " + value);
      }
    }
  }

  /**
   * Horizontal reference line of a plot.
   *
   * @param name label beside the line
   * @param value position of the line in the unit of the plot
   */
  record Limit(String name, double value) {}
}
