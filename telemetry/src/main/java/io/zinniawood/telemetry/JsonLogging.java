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
 * Sends the logs of System.Logger, of java.util.logging and, through its binding, of SLF4J as JSON
 * lines to one stream.
 */
public final class JsonLogging {
  /** An operator sees that a fault repeats; more lines of it tell nothing new. */
  private static final int MAX_REPEATS_PER_INTERVAL = 10;

  private static final long REPEAT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

  private JsonLogging() {}

  /** Replaces the handlers of the root logger; call once, at the start of the process. */
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

  /** Returns a handler that writes and flushes one line for each record that the limiter passes. */
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
      } catch (java.io.UnsupportedEncodingException missing) {
        throw new IllegalStateException("every Java platform provides UTF-8", missing);
      }
    }

    // Lines that wait in a buffer would be lost when the process is killed.
    @Override
    public synchronized void publish(LogRecord logRecord) {
      super.publish(logRecord);
      flush();
    }
  }
}
