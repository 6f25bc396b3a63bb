package io.zinniawood.report;

import io.vavr.collection.Vector;

/** Content of a section. */
public sealed interface Block {
  /** Calls the visitor's method for the type of this block. */
  <R> R accept(BlockVisitor<R> visitor);

  /**
   * A sentence.
   *
   * @param tone weight
   * @param text the sentence
   */
  record Line(Tone tone, String text) implements Block {
    @Override
    public <R> R accept(BlockVisitor<R> visitor) {
      return visitor.visitLine(this);
    }
  }

  /**
   * Sentences that belong together, with an indent for effects below their cause.
   *
   * @param items sentences
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
   * @param depth 0 for a cause, one more for each step to an effect
   * @param tone weight
   * @param text the sentence
   */
  record Item(int depth, Tone tone, String text) {}

  /**
   * A table.
   *
   * @param columns titles of the columns
   * @param rows rows, each with one cell for each column
   */
  record Table(Vector<Column> columns, Vector<Vector<String>> rows) implements Block {
    /** Checks that each row has as many cells as there are columns. */
    public Table {
      int width = columns.size();
      if (!rows.forAll(row -> row.size() == width)) {
        throw new IllegalArgumentException("each row must have %d cells".formatted(width));
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
   * @param title title
   * @param alignment alignment of its cells
   */
  record Column(String title, Alignment alignment) {
    /** Returns a column of texts. */
    public static Column text(String title) {
      return new Column(title, Alignment.LEFT);
    }

    /** Returns a column of numbers. */
    public static Column number(String title) {
      return new Column(title, Alignment.RIGHT);
    }
  }

  /** Alignment of the cells of a column. */
  enum Alignment {
    /** For texts. */
    LEFT,
    /** For numbers. */
    RIGHT
  }

  /**
   * Values over time.
   *
   * @param title title
   * @param unit unit of the values
   * @param series lines of the plot
   * @param limits horizontal lines
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
   * @param name name
   * @param points points in the order of time
   */
  record Series(String name, Vector<Point> points) {}

  /**
   * Point of a plot.
   *
   * @param epochMillis time in milliseconds since 1970
   * @param value value, a finite number
   */
  record Point(long epochMillis, double value) {
    /** Checks the value. */
    public Point {
      if (!Double.isFinite(value)) {
        throw new IllegalArgumentException("value must be finite, but is " + value);
      }
    }
  }

  /**
   * Horizontal line of a plot.
   *
   * @param name name
   * @param value value
   */
  record Limit(String name, double value) {}
}
