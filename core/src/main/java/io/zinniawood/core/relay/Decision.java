package io.zinniawood.core.relay;

import java.util.Arrays;
import java.util.List;

/**
 * Entry of the decision log: an event name and its fields in order.
 *
 * @param event event name, stable across versions
 * @param fields alternating names and values; values are strings, numbers or booleans
 * @param suspicious whether the entry tells of an answer that may be truncated or belong to another
 *     request; the log keeps room for such entries
 */
public record Decision(String event, List<Object> fields, boolean suspicious) {
  /**
   * Creates an entry from alternating names and values.
   *
   * @throws IllegalArgumentException if the last name has no value
   */
  public static Decision of(String event, Object... namesAndValues) {
    if (namesAndValues.length % 2 != 0) {
      throw new IllegalArgumentException(
          "decision log event %s: expected name-value pairs, found %d elements"
              .formatted(event, namesAndValues.length));
    }
    return new Decision(event, Arrays.asList(namesAndValues), false);
  }

  /** Returns the entry with the given value of {@link #suspicious}. */
  public Decision withSuspicious(boolean value) {
    return new Decision(event, fields, value);
  }
}
