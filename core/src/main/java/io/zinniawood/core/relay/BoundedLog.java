package io.zinniawood.core.relay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Log of what was ignored; limits the lines of each event, as one fault may cause many. */
final class BoundedLog {
  private static final int MAX_LINES_PER_INTERVAL = 10;
  private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Map<String, Interval> intervalsByEvent = new HashMap<>();

  private static final class Interval {
    long startNanos;
    int lines;
    long suppressed;
  }

  /** Logs an event unless there were too many in this interval; the next line counts those. */
  void log(RelayTurn turn, String event, Object... namesAndValues) {
    Interval interval = intervalsByEvent.computeIfAbsent(event, name -> new Interval());
    if (turn.nowNanos - interval.startNanos >= INTERVAL_NANOS) {
      interval.startNanos = turn.nowNanos;
      interval.lines = 0;
    }
    if (interval.lines == MAX_LINES_PER_INTERVAL) {
      interval.suppressed++;
      return;
    }
    interval.lines++;
    List<Object> fields = new ArrayList<>(Arrays.asList(namesAndValues));
    fields.add("suppressed");
    fields.add(interval.suppressed);
    interval.suppressed = 0;
    turn.log(event, fields.toArray());
  }
}
