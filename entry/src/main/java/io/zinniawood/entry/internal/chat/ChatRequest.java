package io.zinniawood.entry.internal.chat;

import io.vavr.control.Option;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.model.Payload;

/**
 * Parsed chat request.
 *
 * @param model requested model
 * @param prompt messages array as JSON in UTF-8
 * @param prefixHash hash of the first message, for prefix-cache affinity
 * @param maxTokens most tokens of the answer, if the caller set a limit
 * @param delivery form of the response
 */
public record ChatRequest(
    ModelId model, Payload prompt, long prefixHash, Option<Integer> maxTokens, Delivery delivery) {

  /** Prompt bytes per token; the estimate is used for routing and usage figures only. */
  private static final int ESTIMATED_BYTES_PER_TOKEN = 4;

  /** Returns the estimated number of tokens of the prompt, at least 1. */
  public int promptTokens() {
    return Math.max(1, prompt.sizeBytes() / ESTIMATED_BYTES_PER_TOKEN);
  }

  /** Form of the response. */
  public enum Delivery {
    /** One JSON document. */
    SINGLE_DOCUMENT,
    /** Server-sent events. */
    STREAM,
    /** Server-sent events; a final chunk contains the token usage. */
    STREAM_WITH_USAGE
  }
}
