package io.zinniawood.store;

import io.vavr.control.Option;

/** Result of a conditional write to a table row. */
public sealed interface TableWriteResult {
  /**
   * The write took effect.
   *
   * @param version new version of the row
   */
  record Written(long version) implements TableWriteResult {}

  /**
   * The write had no effect because the row does not have the expected version.
   *
   * @param currentRow current row, none if it does not exist
   */
  record Conflict(Option<TableRow> currentRow) implements TableWriteResult {}
}
