package io.zinniawood.cli.explain;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Log events of one request, collected from the logs of any number of processes. */
public final class RequestTimeline {
  private static final String TIMESTAMP = "timestamp";
  private static final String EVENT = "event";
  private static final String REQUEST = "request";

  private final ObjectMapper mapper = new ObjectMapper();
  private final String request;
  private final List<Line> lines = new ArrayList<>();
  private long unreadableLines;

  private record Line(String source, String timestamp, String event, JsonNode fields) {}

  /** Creates an empty timeline of the request with the given id. */
  public RequestTimeline(String request) {
    this.request = request;
  }

  /**
   * Adds the lines of one log that belong to the request.
   *
   * @param source name of the log, printed with each of its events
   * @param log log with one JSON object per line
   * @throws IOException if the log cannot be read to its end
   */
  public void addLines(String source, BufferedReader log) throws IOException {
    for (String text = log.readLine(); text != null; text = log.readLine()) {
      Optional<JsonNode> json = parse(text);
      if (json.isEmpty()) {
        unreadableLines++;
      } else if (request.equals(json.get().path(REQUEST).asText())) {
        lines.add(
            new Line(
                source,
                json.get().path(TIMESTAMP).asText(""),
                json.get().path(EVENT).asText(""),
                json.get()));
      }
    }
  }

  private Optional<JsonNode> parse(String text) {
    try {
      JsonNode json = mapper.readTree(text);
      return json != null && json.isObject() ? Optional.of(json) : Optional.empty();
    } catch (IOException invalid) {
      // Not an error: a truncated log ends with an incomplete line. The caller counts such lines.
      return Optional.empty();
    }
  }

  /** Returns whether any log line belongs to the request. */
  public boolean hasLines() {
    return !lines.isEmpty();
  }

  /** Returns the number of lines that were skipped as they are not JSON objects. */
  public long unreadableLines() {
    return unreadableLines;
  }

  /** Returns one line of text per event, in order of timestamps, and the cause of the end last. */
  public List<String> render() {
    lines.sort(Comparator.comparing(Line::timestamp));
    List<String> rendered = new ArrayList<>();
    for (Line line : lines) {
      StringBuilder text = new StringBuilder();
      text.append(line.timestamp()).append("  ").append(line.source()).append("  ");
      text.append(line.event());
      for (Map.Entry<String, JsonNode> field : line.fields().properties()) {
        String name = field.getKey();
        if (!name.equals(TIMESTAMP) && !name.equals(EVENT) && !name.equals(REQUEST)) {
          text.append(' ').append(name).append('=').append(field.getValue().asText());
        }
      }
      rendered.add(text.toString());
    }
    rendered.add("cause: " + cause());
    return rendered;
  }

  private String cause() {
    for (int index = lines.size() - 1; index >= 0; index--) {
      JsonNode fields = lines.get(index).fields();
      switch (lines.get(index).event()) {
        case "request-ended" -> {
          return fields.path("outcome").asText() + ", " + fields.path("reason").asText();
        }
        case "request-refused" -> {
          return "refused on arrival, " + fields.path("reason").asText();
        }
        default -> {
          // Other events do not state the outcome.
        }
      }
    }
    return "not in these logs; the process may have ended with the request in progress";
  }
}
