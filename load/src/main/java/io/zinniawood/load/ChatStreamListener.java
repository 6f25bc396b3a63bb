package io.zinniawood.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.zinniawood.load.WorkloadRecorder.TokenPosition;
import java.io.IOException;
import java.util.concurrent.Phaser;
import okhttp3.Response;
import okhttp3.sse.EventSource;
import okhttp3.sse.EventSourceListener;

/** Records the result of one streamed chat completion. */
final class ChatStreamListener extends EventSourceListener {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String DONE = "[DONE]";

  private final WorkloadRecorder recorder;
  private final Phaser openRequests;
  private final ResponseTimes times;
  private boolean finishReasonReceived;
  private boolean resultRecorded;
  private boolean deregistered;

  ChatStreamListener(WorkloadRecorder recorder, Phaser openRequests, ResponseTimes times) {
    this.recorder = recorder;
    this.openRequests = openRequests;
    this.times = times;
  }

  @Override
  public void onEvent(EventSource source, String id, String type, String data) {
    long nowNanos = System.nanoTime();
    if (data.equals(DONE)) {
      if (finishReasonReceived && !resultRecorded) {
        resultRecorded = true;
        recorder.completed(nowNanos, times.microsSinceIntendedSend(nowNanos), times);
      }
      return;
    }
    try {
      handleEvent(JSON.readTree(data), nowNanos);
    } catch (JsonProcessingException notJson) {
      recordProblem("malformed-event no-outcome");
    }
  }

  private void handleEvent(JsonNode event, long nowNanos) {
    if (event.has("outcome") || event.has("error")) {
      JsonNode problem = event.has("outcome") ? event : event.path("error");
      recordProblem(RequestSender.problemText(0, problem.toString()) + " (in stream)");
      return;
    }
    JsonNode choice = event.path("choices").path(0);
    if (!choice.path("delta").path("content").asText("").isEmpty()) {
      TokenPosition position = times.hasTokens() ? TokenPosition.LATER : TokenPosition.FIRST;
      recorder.token(nowNanos, times.recordToken(nowNanos), position);
    }
    if (choice.hasNonNull("finish_reason")) {
      finishReasonReceived = true;
    }
  }

  private void recordProblem(String problem) {
    if (!resultRecorded) {
      resultRecorded = true;
      recorder.problem(problem);
    }
  }

  @Override
  public void onClosed(EventSource source) {
    if (!resultRecorded) {
      recorder.broken();
    }
    deregister();
  }

  @Override
  public void onFailure(EventSource source, Throwable failure, Response response) {
    if (!resultRecorded) {
      if (response != null && !response.isSuccessful()) {
        recordProblem(RequestSender.problemText(response.code(), body(response)));
      } else {
        recorder.broken();
      }
    }
    deregister();
  }

  private static String body(Response response) {
    try {
      return response.body() == null ? "" : response.body().string();
    } catch (IOException unreadable) {
      return "";
    }
  }

  private void deregister() {
    if (!deregistered) {
      deregistered = true;
      openRequests.arriveAndDeregister();
    }
  }
}
