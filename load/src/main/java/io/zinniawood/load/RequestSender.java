package io.zinniawood.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.Phaser;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.sse.EventSource;
import okhttp3.sse.EventSources;

/** Sends the requests of one workload. */
final class RequestSender {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final MediaType JSON_TYPE = MediaType.get("application/json");
  private static final String[] PROMPT_WORDS = {
    "fee", "coin", "voucher", "jam", "bin", "salt", "route", "frost", "kiosk", "refill"
  };

  private final OkHttpClient client;
  private final EventSource.Factory eventSources;
  private final URI target;
  private final Workload workload;
  private final WorkloadRecorder recorder;
  private final Phaser openRequests;
  private final SplittableRandom random;

  RequestSender(
      OkHttpClient client,
      URI target,
      Workload workload,
      WorkloadRecorder recorder,
      Phaser openRequests,
      long seed) {
    this.client = client;
    this.eventSources = EventSources.createFactory(client);
    this.target = target;
    this.workload = workload;
    this.recorder = recorder;
    this.openRequests = openRequests;
    // The constant gives the request contents another sequence than the arrival times.
    this.random = new SplittableRandom(seed ^ 0x5DEECE66DL);
  }

  /** Sends a request asynchronously; the latency is measured from the intended send time. */
  void send(long intendedSendNanos) {
    recorder.sent();
    openRequests.register();
    if (workload.call() instanceof Workload.Call.Chat chat) {
      eventSources.newEventSource(
          chatRequest(chat),
          new ChatStreamListener(recorder, openRequests, new ResponseTimes(intendedSendNanos)));
    } else if (workload.call() instanceof Workload.Call.Post post) {
      client.newCall(postRequest(post)).enqueue(new ServiceCallback(intendedSendNanos));
    } else if (workload.call() instanceof Workload.Call.Get get) {
      Request request =
          serviceRequest(get.service(), get.path(), get.deadlineMillis()).get().build();
      client.newCall(request).enqueue(new ServiceCallback(intendedSendNanos));
    }
  }

  private Request chatRequest(Workload.Call.Chat chat) {
    StringBuilder prompt = new StringBuilder();
    for (int i = 0; i < chat.promptWords(); i++) {
      prompt.append(PROMPT_WORDS[random.nextInt(PROMPT_WORDS.length)]).append(' ');
    }
    ObjectNode body = JSON.createObjectNode();
    body.put("model", chat.model()).put("stream", true).put("max_tokens", chat.maxTokens());
    body.putArray("messages").addObject().put("role", "user").put("content", prompt.toString());
    return new Request.Builder()
        .url(target.resolve("/v1/chat/completions").toString())
        .header("Authorization", "Bearer " + workload.apiKey())
        .header("X-Request-Deadline-Ms", Long.toString(chat.deadlineMillis()))
        .post(RequestBody.create(body.toString(), JSON_TYPE))
        .build();
  }

  private Request postRequest(Workload.Call.Post post) {
    String reference = new UUID(random.nextLong(), random.nextLong()).toString();
    ObjectNode body = JSON.createObjectNode().put("reference", reference).put("amount_cents", 120);
    return serviceRequest(post.service(), post.path(), post.deadlineMillis())
        .header("Idempotency-Key", reference)
        .post(RequestBody.create(body.toString(), JSON_TYPE))
        .build();
  }

  private Request.Builder serviceRequest(String service, String path, long deadlineMillis) {
    return new Request.Builder()
        .url(target.resolve("/services/" + service + path).toString())
        .header("Authorization", "Bearer " + workload.apiKey())
        .header("X-Request-Deadline-Ms", Long.toString(deadlineMillis));
  }

  /** Returns type and outcome of a problem document, separated by a space. */
  static String problemText(int status, String document) {
    try {
      JsonNode problem = JSON.readTree(document);
      String type = problem.path("type").asText("status-" + status);
      return type.substring(Math.max(type.lastIndexOf('/'), type.lastIndexOf(':')) + 1)
          + " "
          + problem.path("outcome").asText("no-outcome");
    } catch (JsonProcessingException notJson) {
      return "status-" + status + " no-outcome";
    }
  }

  /** Records the result of a request to a plain service. */
  private final class ServiceCallback implements Callback {
    private final long intendedSendNanos;

    ServiceCallback(long intendedSendNanos) {
      this.intendedSendNanos = intendedSendNanos;
    }

    @Override
    public void onFailure(Call call, IOException failure) {
      recorder.broken();
      openRequests.arriveAndDeregister();
    }

    @Override
    public void onResponse(Call call, Response response) {
      try (response) {
        String body = response.body() == null ? "" : response.body().string();
        long nowNanos = System.nanoTime();
        if (response.isSuccessful()) {
          recorder.completed(
              nowNanos,
              (nowNanos - intendedSendNanos) / 1_000,
              new ResponseTimes(intendedSendNanos));
        } else {
          recorder.problem(problemText(response.code(), body));
        }
      } catch (IOException failure) {
        recorder.broken();
      } finally {
        openRequests.arriveAndDeregister();
      }
    }
  }
}
