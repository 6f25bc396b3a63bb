package io.zinniawood.core.relay;

import io.zinniawood.core.id.RequestId;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller's request says to the router.
 *
 * @param id id that the caller gave this attempt; none if it gave none or an unusable one
 * @param host value of the Host header
 * @param path path without the query
 * @param apiKey API key; none if the caller sent none
 * @param deadlineMillis time that the caller will wait, in milliseconds
 * @param promptTokens tokens of the prompt; 0 for a plain service
 * @param maxAnswerTokens most tokens of the answer; 0 for a plain service
 * @param resumeAfter last event that the caller has; 0 if it has none
 */
public record CallerRequest(
    Optional<RequestId> id,
    String host,
    String path,
    Optional<String> apiKey,
    OptionalLong deadlineMillis,
    int promptTokens,
    int maxAnswerTokens,
    long resumeAfter) {
  /**
   * Returns the tokens that the request is expected to take in the memory of each endpoint. Callers
   * name a most that few answers reach.
   *
   * @param usualAnswerTokens mean answer in tokens
   */
  public long expectedTokens(int usualAnswerTokens) {
    return (long) promptTokens + Math.min(maxAnswerTokens, usualAnswerTokens);
  }
}
