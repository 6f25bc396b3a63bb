package io.zinniawood.entry.internal.chat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Seq;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.model.FinishReason;
import java.nio.charset.StandardCharsets;

/** Builds the JSON documents and server-sent events of the response to one chat request. */
public final class ChatResponses {
  /** Last event of a complete stream. */
  public static final byte[] DONE_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final String id;
  private final String model;
  private final long createdSeconds;

  /**
   * Creates a builder for one request.
   *
   * @param request id from which the completion id is built
   * @param model model named in the documents
   * @param createdSeconds wall-clock time of the request in seconds since the epoch
   */
  public ChatResponses(RequestId request, ModelId model, long createdSeconds) {
    this.id = "chatcmpl-" + request.value();
    this.model = model.value();
    this.createdSeconds = createdSeconds;
  }

  /** Returns the first event of a stream, which contains the role. */
  public byte[] roleEvent() {
    ObjectNode chunk = newChunk();
    addChoice(chunk).putObject("delta").put("role", "assistant").put("content", "");
    return toEvent(chunk);
  }

  /** Returns the event for one token. */
  public byte[] tokenEvent(String text) {
    ObjectNode chunk = newChunk();
    addChoice(chunk).putObject("delta").put("content", text);
    return toEvent(chunk);
  }

  /** Returns the event that contains the finish reason. */
  public byte[] finishEvent(FinishReason reason) {
    ObjectNode chunk = newChunk();
    ObjectNode choice = addChoice(chunk);
    choice.putObject("delta");
    choice.put("finish_reason", reason.text());
    return toEvent(chunk);
  }

  /** Returns the event that contains the token usage; its choices are empty. */
  public byte[] usageEvent(int promptTokens, int tokens) {
    ObjectNode chunk = newChunk();
    chunk.putArray("choices");
    addUsage(chunk, promptTokens, tokens);
    return toEvent(chunk);
  }

  /** Returns the document of a non-streaming response. */
  public byte[] completion(String content, FinishReason reason, int promptTokens, int tokens) {
    ObjectNode document = newDocument("chat.completion");
    ObjectNode choice = addChoice(document);
    choice.putObject("message").put("role", "assistant").put("content", content);
    choice.put("finish_reason", reason.text());
    addUsage(document, promptTokens, tokens);
    return toBytes(document);
  }

  /** Returns the document that lists models. */
  public static byte[] modelList(Seq<ModelId> models) {
    ObjectNode document = MAPPER.createObjectNode().put("object", "list");
    var data = document.putArray("data");
    for (ModelId model : models) {
      data.addObject()
          .put("id", model.value())
          .put("object", "model")
          .put("created", 0)
          .put("owned_by", "zinniawood");
    }
    return toBytes(document);
  }

  private ObjectNode newChunk() {
    return newDocument("chat.completion.chunk");
  }

  private ObjectNode newDocument(String object) {
    return MAPPER
        .createObjectNode()
        .put("id", id)
        .put("object", object)
        .put("created", createdSeconds)
        .put("model", model);
  }

  private static ObjectNode addChoice(ObjectNode document) {
    return document.putArray("choices").addObject().put("index", 0).putNull("finish_reason");
  }

  private static void addUsage(ObjectNode document, int promptTokens, int tokens) {
    document
        .putObject("usage")
        .put("prompt_tokens", promptTokens)
        .put("completion_tokens", tokens)
        .put("total_tokens", promptTokens + tokens);
  }

  private static byte[] toEvent(ObjectNode document) {
    return ("data: " + document + "\n\n").getBytes(StandardCharsets.UTF_8);
  }

  private static byte[] toBytes(ObjectNode document) {
    try {
      return MAPPER.writeValueAsBytes(document);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("serializing a JSON tree failed", e);
    }
  }
}
