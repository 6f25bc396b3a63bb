package io.zinniawood.load;

import java.util.Objects;

/**
 * One stream of requests with Poisson arrivals.
 *
 * @param name name in the result
 * @param apiKey API key of the client account
 * @param requestsPerSecond mean arrival rate
 * @param call what each request does
 */
public record Workload(String name, String apiKey, double requestsPerSecond, Call call) {
  /** Checks the rate. */
  public Workload {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(apiKey, "apiKey");
    Objects.requireNonNull(call, "call");
    if (!(requestsPerSecond > 0)) {
      throw new IllegalArgumentException("the rate must be positive");
    }
  }

  /** What a request of a workload does. */
  public sealed interface Call {
    /**
     * Streams a chat completion.
     *
     * @param model model
     * @param promptWords words of each prompt
     * @param maxTokens most tokens of an answer
     * @param deadlineMillis deadline in milliseconds
     */
    record Chat(String model, int promptWords, int maxTokens, long deadlineMillis)
        implements Call {}

    /**
     * Posts to a plain service with a fresh idempotency key.
     *
     * @param service name of the service
     * @param path path below the service
     * @param deadlineMillis deadline in milliseconds
     */
    record Post(String service, String path, long deadlineMillis) implements Call {}

    /**
     * Reads from a plain service.
     *
     * @param service name of the service
     * @param path path below the service
     * @param deadlineMillis deadline in milliseconds
     */
    record Get(String service, String path, long deadlineMillis) implements Call {}
  }
}
