package io.zinniawood.store;

import io.vavr.control.Option;

/** Result of a conditional write. */
public sealed interface TableWriteResult {
  /**
   * The write took effect.
   *
   * @param version new version of the row
   */
  record Written(long version) implements TableWriteResult {}

  /**
   * The row has another version than expected.
   *
   * @param currentRow row as it is, none if it does not exist
   */
  record Conflict(Option<TableRow> currentRow) implements TableWriteResult {}
}
