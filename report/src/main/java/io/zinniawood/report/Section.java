package io.zinniawood.report;

import io.vavr.collection.Vector;

/**
 * Titled part of a report.
 *
 * @param title title
 * @param blocks content in order
 */
public record Section(String title, Vector<Block> blocks) {
  /** Returns a section with the given blocks. */
  public static Section of(String title, Block... blocks) {
    return new Section(title, Vector.of(blocks));
  }

  /** Returns this section with one more block. */
  public Section with(Block block) {
    return new Section(title, blocks.append(block));
  }
}
