package io.zinniawood.telemetry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.format.DateTimeFormatter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats each log record as one line of JSON. */
public final class JsonLineFormatter extends Formatter {
  /** Longer messages and stack traces are truncated, so that deep stacks do not flood the log. */
  private static final int MAX_CHARACTERS = 16_384;

  private final ObjectMapper mapper = new ObjectMapper();

  @Override
  public String format(LogRecord logRecord) {
    ObjectNode line = mapper.createObjectNode();
    line.put("timestamp", DateTimeFormatter.ISO_INSTANT.format(logRecord.getInstant()));
    line.put("level", logRecord.getLevel().getName());
    line.put("logger", logRecord.getLoggerName());
    line.put("message", truncate(formatMessage(logRecord)));
    Object[] parameters = logRecord.getParameters();
    if (parameters != null) {
      for (Object parameter : parameters) {
        if (parameter instanceof LogContext context) {
          putContext(line, context);
        }
      }
    }
    if (logRecord.getThrown() != null) {
      line.put("stackTrace", truncate(stackTrace(logRecord.getThrown())));
    }
    return line + "\n";
  }

  private static void putContext(ObjectNode line, LogContext context) {
    context.request().ifPresent(value -> line.put("request", value));
    context.clientAccount().ifPresent(value -> line.put("clientAccount", value));
    context.endpoint().ifPresent(value -> line.put("endpoint", value));
    context.incarnation().ifPresent(value -> line.put("incarnation", Long.toString(value)));
    context.generation().ifPresent(value -> line.put("generation", value));
    context.outcome().ifPresent(value -> line.put("outcome", value));
  }

  private static String stackTrace(Throwable thrown) {
    StringWriter text = new StringWriter();
    thrown.printStackTrace(new PrintWriter(text, true));
    return text.toString();
  }

  private static String truncate(String text) {
    return text.length() <= MAX_CHARACTERS ? text : text.substring(0, MAX_CHARACTERS) + "...";
  }
}
