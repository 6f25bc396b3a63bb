package io.zinniawood.core.relay;

import io.zinniawood.core.id.PromptPartId;
import io.zinniawood.core.id.RequestId;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Properties of a caller's request that the relay decides on.
 *
 * @param id request id set by the caller; empty if missing or invalid
 * @param host value of the Host header
 * @param path path without the query
 * @param apiKey API key; empty if the caller sent none
 * @param deadlineMillis time that the caller is willing to wait, in milliseconds; empty if
 *     unspecified
 * @param promptTokens prompt length in tokens; 0 for a plain service
 * @param maxAnswerTokens maximum answer length in tokens; 0 for a plain service
 * @param resumeAfter id of the last stream event that the caller received; 0 if none
 * @param sharedParts parts of the prompt that other requests may share, in order; without the last
 *     part, which belongs to this request alone
 */
public record CallerRequest(
    Optional<RequestId> id,
    String host,
    String path,
    Optional<String> apiKey,
    OptionalLong deadlineMillis,
    int promptTokens,
    int maxAnswerTokens,
    long resumeAfter,
    List<PromptPartId> sharedParts) {
  /** Makes an unmodifiable copy of the list. */
  public CallerRequest {
    sharedParts = List.copyOf(sharedParts);
  }

  /**
   * Returns the number of tokens that the request is expected to occupy in the memory of each
   * endpoint. The caller's maximum is capped at the mean answer length, as few answers reach it.
   *
   * @param meanAnswerTokens mean answer length in tokens
   */
  public long expectedTokens(int meanAnswerTokens) {
    return (long) promptTokens + Math.min(maxAnswerTokens, meanAnswerTokens);
  }
}
