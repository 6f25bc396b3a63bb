package io.zinniawood.telemetry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class JsonLoggingTest {
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final AtomicLong nowNanos = new AtomicLong();
  private final Logger root = Logger.getLogger("");
  private final Handler handler =
      JsonLogging.createHandler(output, new RepeatLimiter(2, 1_000, nowNanos::get));

  @BeforeEach
  void addHandler() {
    root.addHandler(handler);
  }

  @AfterEach
  void removeHandler() {
    root.removeHandler(handler);
  }

  private String[] lines() {
    return output.toString(StandardCharsets.UTF_8).split("\n");
  }

  // Records of System.Logger and SLF4J must both be written as JSON lines.
  @Test
  void recordsOfBothLogInterfacesAreWrittenAsJsonLines() throws IOException {
    LogContext context =
        LogContext.empty()
            .withRequest("r1")
            .withClientAccount("kiosks")
            .withEndpoint("e1")
            .withIncarnation(-1)
            .withGeneration(4)
            .withOutcome("unknown");
    System.getLogger("a")
        .log(System.Logger.Level.INFO, "request ended\nwith {1}", context, "\"x\"");
    org.slf4j.LoggerFactory.getLogger("b").warn("failed", new IllegalStateException("why"));
    assertThat(lines().length, equalTo(2));
    JsonNode first = new ObjectMapper().readTree(lines()[0]);
    assertThat(first.path("message").asText(), equalTo("request ended\nwith \"x\""));
    assertThat(first.path("request").asText(), equalTo("r1"));
    assertThat(first.path("incarnation").asText(), equalTo("-1"));
    assertThat(first.path("generation").asLong(), equalTo(4L));
    assertThat(first.path("outcome").asText(), equalTo("unknown"));
    JsonNode second = new ObjectMapper().readTree(lines()[1]);
    assertThat(second.path("logger").asText(), equalTo("b"));
    assertThat(second.path("level").asText(), equalTo("WARNING"));
    assertThat(second.path("stackTrace").asText(), containsString("IllegalStateException: why"));
  }

  // A repeated failure must not fill the log, and the number of dropped records must be logged.
  @Test
  void repeatsAreDroppedAndCounted() {
    for (int index = 0; index < 5; index++) {
      handler.publish(new LogRecord(Level.WARNING, "store is down"));
    }
    handler.publish(new LogRecord(Level.WARNING, "other"));
    assertThat(lines().length, equalTo(3));
    nowNanos.addAndGet(1_000);
    handler.publish(new LogRecord(Level.WARNING, "store is down"));
    assertThat(lines()[3], containsString("store is down (3 repeats were not logged)"));
  }
}
