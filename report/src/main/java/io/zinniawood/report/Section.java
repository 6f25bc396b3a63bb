package io.zinniawood.report;

import io.vavr.collection.Vector;

/**
 * Titled part of a report.
 *
 * @param title heading of the section
 * @param blocks content in the order of display
 */
public record Section(String title, Vector<Block> blocks) {
  /** Returns a section with the given blocks. */
  public static Section of(String title, Block... blocks) {
    return new Section(title, Vector.of(blocks));
  }

  /** Returns a copy of this section with the block appended. */
  public Section with(Block block) {
    return new Section(title, blocks.append(block));
  }
}
