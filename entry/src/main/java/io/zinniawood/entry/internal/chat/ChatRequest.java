package io.zinniawood.entry.internal.chat;

import io.vavr.control.Option;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.model.Payload;

/**
 * Parsed chat request.
 *
 * @param model model
 * @param prompt JSON of the messages array in UTF-8
 * @param prefixHash hash of the first message, for prefix-cache affinity
 * @param maxTokens limit that the caller set
 * @param delivery how the caller wants the answer
 */
public record ChatRequest(
    ModelId model, Payload prompt, long prefixHash, Option<Integer> maxTokens, Delivery delivery) {

  /** Bytes of a prompt for each estimated token; only routing and usage figures depend on it. */
  private static final int ESTIMATED_BYTES_PER_TOKEN = 4;

  /** Returns the estimated number of tokens of the prompt. */
  public int promptTokens() {
    return Math.max(1, prompt.sizeBytes() / ESTIMATED_BYTES_PER_TOKEN);
  }

  /** How the caller wants the answer. */
  public enum Delivery {
    /** One JSON document. */
    SINGLE_DOCUMENT,
    /** Server-sent events. */
    STREAM,
    /** Server-sent events with a last chunk that holds the usage. */
    STREAM_WITH_USAGE
  }
}
