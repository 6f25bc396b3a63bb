package io.zinniawood.dist;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.sse.EventSource;
import okhttp3.sse.EventSourceListener;
import okhttp3.sse.EventSources;

/** HTTP client that sends chat completions and credits to the entries under test. */
final class Caller {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final MediaType JSON_TYPE = MediaType.get("application/json");
  private static final long TIMEOUT_SECONDS = 60;

  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .retryOnConnectionFailure(false)
          .readTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
          .build();

  /** Tokens and outcome of a streamed chat completion; filled while the response arrives. */
  static final class ChatStream {
    final List<String> tokens = new CopyOnWriteArrayList<>();
    final CompletableFuture<String> outcome = new CompletableFuture<>();

    /** Waits until the given number of tokens has arrived or the stream has ended. */
    void awaitTokens(int count) {
      await(() -> tokens.size() >= count || outcome.isDone());
    }

    /**
     * Waits for the end of the stream; returns the finish reason or a description of the failure.
     */
    String awaitOutcome() throws Exception {
      return outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    String text() {
      return String.join("", tokens);
    }
  }

  /**
   * Response to a request without streaming.
   *
   * @param status HTTP status, 0 if the connection failed before the response was complete
   * @param body response body; a body that is not JSON is wrapped in the field {@code text}
   */
  record Answer(int status, JsonNode body) {
    String outcome() {
      return body.path("outcome").asText();
    }
  }

  /** Waits until a condition holds; throws an {@link AssertionError} after 60 seconds. */
  static void await(BooleanSupplier condition) {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > endNanos) {
        throw new AssertionError("the condition did not hold within " + TIMEOUT_SECONDS + " s");
      }
      java.util.concurrent.locks.LockSupport.parkNanos(5_000_000);
    }
  }

  /** Returns the prompt that the entry passes to the engines for a message with this content. */
  static String enginePrompt(String content) {
    return "[{\"role\":\"user\",\"content\":\"" + content + "\"}]";
  }

  private static Request.Builder authorizedRequest(URI base, String path) {
    return new Request.Builder()
        .url(base.resolve(path).toString())
        .header("Authorization", "Bearer " + ProcessCluster.API_KEY);
  }

  private static String chatBody(String content, int maxTokens, String mode) {
    ObjectNode body = JSON.createObjectNode();
    body.put("model", "assistant").put("max_tokens", maxTokens);
    body.put("stream", mode.equals("stream"));
    body.putArray("messages").addObject().put("role", "user").put("content", content);
    return body.toString();
  }

  /**
   * Sends a chat completion request with streaming; the response is collected in the background.
   */
  ChatStream streamChat(ProcessCluster.Entry entry, String content, int maxTokens) {
    ChatStream stream = new ChatStream();
    Request request =
        authorizedRequest(entry.callersUri(), "/v1/chat/completions")
            .post(RequestBody.create(chatBody(content, maxTokens, "stream"), JSON_TYPE))
            .build();
    EventSources.createFactory(client).newEventSource(request, new ChatStreamListener(stream));
    return stream;
  }

  /** Sends a chat completion request without streaming and waits for the response. */
  Answer chatWithoutStreaming(ProcessCluster.Entry entry, String content, int maxTokens) {
    return send(
        authorizedRequest(entry.callersUri(), "/v1/chat/completions")
            .post(RequestBody.create(chatBody(content, maxTokens, "whole"), JSON_TYPE))
            .build());
  }

  /** Posts a credit; the idempotency key is also its reference. */
  Answer credit(ProcessCluster.Entry entry, String key, int amountCents) {
    return send(creditRequest(entry, key, amountCents));
  }

  /** Posts a credit as {@link #credit} does, in the background. */
  CompletableFuture<Answer> creditAsync(ProcessCluster.Entry entry, String key, int amountCents) {
    return CompletableFuture.supplyAsync(() -> credit(entry, key, amountCents));
  }

  private static Request creditRequest(ProcessCluster.Entry entry, String key, int amountCents) {
    ObjectNode body =
        JSON.createObjectNode().put("reference", key).put("amount_cents", amountCents);
    return authorizedRequest(entry.callersUri(), "/services/credit/credits")
        .header("Idempotency-Key", key)
        .header("X-Request-Deadline-Ms", "10000")
        .post(RequestBody.create(body.toString(), JSON_TYPE))
        .build();
  }

  /** Sends a GET request for a path below a base URI. */
  Answer get(URI base, String path) {
    return send(authorizedRequest(base, path).get().build());
  }

  private Answer send(Request request) {
    try (Response response = client.newCall(request).execute()) {
      String body = response.body() == null ? "" : response.body().string();
      return new Answer(response.code(), parse(body));
    } catch (IOException connectionError) {
      return new Answer(
          0, JSON.createObjectNode().put("connection_error", connectionError.toString()));
    }
  }

  private static JsonNode parse(String body) {
    try {
      return JSON.readTree(body.isEmpty() ? "{}" : body);
    } catch (IOException notJson) {
      return JSON.createObjectNode().put("text", body);
    }
  }

  /** Waits until an entry answers chat completions with status 200. */
  void awaitChatReady(ProcessCluster.Entry entry) {
    await(() -> chatWithoutStreaming(entry, "ready?", 1).status() == 200);
  }

  /** Waits until an entry forwards reads to the credit service with status 200. */
  void awaitCreditServiceReady(ProcessCluster.Entry entry) {
    await(() -> get(entry.callersUri(), "/services/credit/ledger").status() == 200);
  }

  /** Adds the events of a response to a {@link ChatStream}. */
  private static final class ChatStreamListener extends EventSourceListener {
    private final ChatStream stream;
    private String finishReason = "[DONE] without finish_reason";

    ChatStreamListener(ChatStream stream) {
      this.stream = stream;
    }

    @Override
    public void onEvent(EventSource source, String id, String type, String data) {
      if (data.equals("[DONE]")) {
        stream.outcome.complete(finishReason);
        return;
      }
      JsonNode event = parse(data);
      JsonNode choice = event.path("choices").path(0);
      String token = choice.path("delta").path("content").asText("");
      if (!token.isEmpty()) {
        stream.tokens.add(token);
      }
      if (choice.hasNonNull("finish_reason")) {
        finishReason = choice.path("finish_reason").asText();
      }
      if (event.has("outcome") || event.has("error")) {
        stream.outcome.complete(data);
      }
    }

    @Override
    public void onClosed(EventSource source) {
      stream.outcome.complete("stream closed without [DONE]");
    }

    @Override
    public void onFailure(EventSource source, Throwable failure, Response response) {
      String problem = String.valueOf(failure);
      try {
        if (response != null && response.body() != null) {
          problem = response.code() + " " + response.body().string();
        }
      } catch (IOException unreadable) {
        problem = unreadable.toString();
      }
      stream.outcome.complete(problem);
    }
  }
}
