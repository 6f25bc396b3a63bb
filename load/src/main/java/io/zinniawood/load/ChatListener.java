package io.zinniawood.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.zinniawood.load.WorkloadRecorder.TokenPlace;
import java.io.IOException;
import java.util.concurrent.Phaser;
import okhttp3.Response;
import okhttp3.sse.EventSource;
import okhttp3.sse.EventSourceListener;

/** Records one streamed chat completion. */
final class ChatListener extends EventSourceListener {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String DONE = "[DONE]";

  private final WorkloadRecorder recorder;
  private final Phaser open;
  private final AnswerTimes times;
  private boolean finished;
  private boolean recorded;
  private boolean ended;

  ChatListener(WorkloadRecorder recorder, Phaser open, AnswerTimes times) {
    this.recorder = recorder;
    this.open = open;
    this.times = times;
  }

  @Override
  public void onEvent(EventSource source, String id, String type, String data) {
    long nowNanos = System.nanoTime();
    if (data.equals(DONE)) {
      if (finished && !recorded) {
        recorded = true;
        recorder.completed(nowNanos, times.sinceIntendedMicros(nowNanos), times);
      }
      return;
    }
    try {
      read(JSON.readTree(data), nowNanos);
    } catch (JsonProcessingException notJson) {
      fail("malformed-event no-outcome");
    }
  }

  private void read(JsonNode event, long nowNanos) {
    if (event.has("outcome") || event.has("error")) {
      JsonNode problem = event.has("outcome") ? event : event.path("error");
      fail(RequestSender.problemText(0, problem.toString()) + " (in stream)");
      return;
    }
    JsonNode choice = event.path("choices").path(0);
    if (!choice.path("delta").path("content").asText("").isEmpty()) {
      TokenPlace place = times.hasTokens() ? TokenPlace.LATER : TokenPlace.FIRST;
      recorder.token(nowNanos, times.token(nowNanos), place);
    }
    if (choice.hasNonNull("finish_reason")) {
      finished = true;
    }
  }

  private void fail(String problem) {
    if (!recorded) {
      recorded = true;
      recorder.problem(problem);
    }
  }

  @Override
  public void onClosed(EventSource source) {
    if (!recorded) {
      recorder.broken();
    }
    end();
  }

  @Override
  public void onFailure(EventSource source, Throwable failure, Response response) {
    if (!recorded) {
      if (response != null && !response.isSuccessful()) {
        fail(RequestSender.problemText(response.code(), body(response)));
      } else {
        recorder.broken();
      }
    }
    end();
  }

  private static String body(Response response) {
    try {
      return response.body() == null ? "" : response.body().string();
    } catch (IOException unreadable) {
      return "";
    }
  }

  private void end() {
    if (!ended) {
      ended = true;
      open.arriveAndDeregister();
    }
  }
}
