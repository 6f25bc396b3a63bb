package io.zinniawood.core.relay;

import java.util.Arrays;
import java.util.List;

/**
 * One decision for the log: an event name and its fields in order.
 *
 * @param event stable name of the event
 * @param fields names and values by turns; values are text, numbers or truth values
 */
public record Decision(String event, List<Object> fields) {
  /** Creates a decision from names and values by turns. */
  public static Decision of(String event, Object... namesAndValues) {
    if (namesAndValues.length % 2 != 0) {
      throw new IllegalArgumentException("field without a value in decision " + event);
    }
    return new Decision(event, Arrays.asList(namesAndValues));
  }
}
