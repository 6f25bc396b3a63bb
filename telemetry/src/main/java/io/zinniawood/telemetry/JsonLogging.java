package io.zinniawood.telemetry;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

/**
 * Configures java.util.logging to write JSON lines to one stream. System.Logger and, through its
 * binding, SLF4J log to java.util.logging.
 */
public final class JsonLogging {
  /** A few lines show that a failure repeats; further lines add no information. */
  private static final int MAX_REPEATS_PER_INTERVAL = 10;

  private static final long REPEAT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

  private JsonLogging() {}

  /** Replaces the handlers of the root logger; to be called once at process start. */
  public static void install(OutputStream output, Level level) {
    Logger root = LogManager.getLogManager().getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    root.addHandler(
        createHandler(
            output,
            new RepeatLimiter(MAX_REPEATS_PER_INTERVAL, REPEAT_INTERVAL_NANOS, System::nanoTime)));
    root.setLevel(level);
  }

  /**
   * Returns a handler that writes and flushes one line for each record that the limiter accepts.
   */
  static Handler createHandler(OutputStream output, RepeatLimiter limiter) {
    FlushingHandler handler = new FlushingHandler(output);
    handler.setFilter(limiter);
    handler.setLevel(Level.ALL);
    return handler;
  }

  private static final class FlushingHandler extends StreamHandler {
    FlushingHandler(OutputStream output) {
      super(output, new JsonLineFormatter());
      try {
        setEncoding(StandardCharsets.UTF_8.name());
      } catch (java.io.UnsupportedEncodingException exception) {
        throw new IllegalStateException("UTF-8 is not available on this Java platform", exception);
      }
    }

    // Flushes after each record because buffered lines are lost when the process is killed.
    @Override
    public synchronized void publish(LogRecord logRecord) {
      super.publish(logRecord);
      flush();
    }
  }
}
