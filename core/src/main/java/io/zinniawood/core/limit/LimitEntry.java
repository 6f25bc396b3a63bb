package io.zinniawood.core.limit;

import io.zinniawood.core.id.EndpointIncarnation;

/**
 * What a process tells the others of the limit of an endpoint.
 *
 * @param requestsPerSecond limit that the endpoint named last, in requests a second
 * @param ended whether the endpoint names no limit any more
 * @param evidenceAgeMillis age of the newest evidence for this, in milliseconds
 * @param wanted whether the sender had less permits than it could use
 */
public record LimitEntry(
    EndpointIncarnation endpoint,
    double requestsPerSecond,
    boolean ended,
    long evidenceAgeMillis,
    boolean wanted) {
  /** Checks the values; throws {@link IllegalArgumentException} if one is out of range. */
  public LimitEntry {
    if (!Double.isFinite(requestsPerSecond) || requestsPerSecond < 0 || evidenceAgeMillis < 0) {
      throw new IllegalArgumentException(
          "limit of endpoint %s: expected a finite rate and an age that are not negative, found %s"
                  .formatted(endpoint.endpoint().value(), requestsPerSecond)
              + " requests/s and %d ms".formatted(evidenceAgeMillis));
    }
  }
}
