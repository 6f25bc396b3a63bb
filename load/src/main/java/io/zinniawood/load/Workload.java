package io.zinniawood.load;

import java.util.Objects;

/**
 * Requests of one kind with Poisson arrivals.
 *
 * @param name name of the workload in the result
 * @param apiKey API key of the client account
 * @param requestsPerSecond mean arrival rate, positive
 * @param call request to send
 */
public record Workload(String name, String apiKey, double requestsPerSecond, Call call) {
  /** Checks that the arrival rate is positive. */
  public Workload {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(apiKey, "apiKey");
    Objects.requireNonNull(call, "call");
    if (!(requestsPerSecond > 0)) {
      throw new IllegalArgumentException(
          "the request rate must be positive, found " + requestsPerSecond + " per second");
    }
  }

  /** Request that a workload sends. */
  public sealed interface Call {
    /**
     * Streams a chat completion.
     *
     * @param model id of the model
     * @param promptWords number of words in the prompt
     * @param maxTokens largest number of tokens in the response
     * @param deadlineMillis deadline in milliseconds
     */
    record Chat(String model, int promptWords, int maxTokens, long deadlineMillis)
        implements Call {}

    /**
     * Sends a POST request with a new idempotency key to a plain service.
     *
     * @param service name of the service
     * @param path path of the request below the service
     * @param deadlineMillis deadline in milliseconds
     */
    record Post(String service, String path, long deadlineMillis) implements Call {}

    /**
     * Sends a GET request to a plain service.
     *
     * @param service name of the service
     * @param path path of the request below the service
     * @param deadlineMillis deadline in milliseconds
     */
    record Get(String service, String path, long deadlineMillis) implements Call {}
  }
}
