package io.zinniawood.entry.internal.http;

import io.jooby.Context;
import io.jooby.Value;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.ClientAccount;
import io.zinniawood.core.id.IdempotencyKey;
import io.zinniawood.core.model.Priority;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Reads and validates the header fields of callers' requests. */
final class RequestHeaders {
  /** One day: longer than any caller waits, and short enough for nanoseconds not to overflow. */
  static final long MAX_DEADLINE_MILLIS = 86_400_000;

  /** Most bytes of all header fields together; a usual limit of HTTP servers. */
  static final int MAX_HEADER_BYTES = 16_384;

  private static final int MAX_KEY_CHARACTERS = 256;
  private static final int MAX_DEADLINE_DIGITS = 8;
  private static final String BEARER = "bearer ";

  private RequestHeaders() {}

  /** Returns a problem if the header is too large or could not be decoded completely. */
  static Option<Problem> check(Context context) {
    if (CallerChannel.decodingFailed(context)) {
      return Option.some(badRequest("the request line or a header is malformed or too large"));
    }
    long bytes = 0;
    for (Map.Entry<String, List<String>> field : context.header().toMultimap().entrySet()) {
      for (String value : field.getValue()) {
        bytes += field.getKey().length() + value.length();
      }
    }
    return bytes > MAX_HEADER_BYTES
        ? Option.some(
            Problem.notRun(
                ProblemType.TOO_LARGE,
                "the header fields must not exceed %d bytes".formatted(MAX_HEADER_BYTES)))
        : Option.none();
  }

  static Either<Problem, ClientAccount> authenticate(
      Context context, CallerConfiguration configuration) {
    return singleValue(context, "Authorization")
        .flatMap(
            header ->
                header
                    .filter(value -> value.toLowerCase(Locale.ROOT).startsWith(BEARER))
                    .flatMap(
                        value ->
                            configuration.authenticate(value.substring(BEARER.length()).trim()))
                    .toEither(
                        Problem.notRun(
                            ProblemType.UNAUTHENTICATED,
                            "the Authorization header must contain a valid key: Bearer <key>")));
  }

  static Either<Problem, Long> deadlineMillis(Context context, long defaultMillis) {
    return singleValue(context, "X-Request-Deadline-Ms")
        .flatMap(
            header ->
                header.isEmpty()
                    ? Either.right(Math.min(defaultMillis, MAX_DEADLINE_MILLIS))
                    : parseDeadline(header.get()));
  }

  private static Either<Problem, Long> parseDeadline(String value) {
    boolean digits =
        !value.isEmpty()
            && value.length() <= MAX_DEADLINE_DIGITS
            && value.chars().allMatch(digit -> digit >= '0' && digit <= '9');
    long millis = digits ? Long.parseLong(value) : 0;
    return millis >= 1 && millis <= MAX_DEADLINE_MILLIS
        ? Either.right(millis)
        : Either.left(
            badRequest(
                "X-Request-Deadline-Ms must be an integer from 1 to " + MAX_DEADLINE_MILLIS));
  }

  static Either<Problem, Priority> priority(Context context, ClientAccount account) {
    return singleValue(context, "X-Request-Priority")
        .flatMap(
            header -> {
              if (header.isEmpty()) {
                return Either.right(account.priority());
              }
              for (Priority priority : Priority.values()) {
                if (priority.name().equalsIgnoreCase(header.get())) {
                  return Either.right(priority);
                }
              }
              return Either.left(
                  badRequest("X-Request-Priority must be interactive, normal or batch"));
            });
  }

  static Either<Problem, Option<IdempotencyKey>> idempotencyKey(Context context) {
    return singleValue(context, "Idempotency-Key")
        .flatMap(
            header -> {
              if (header.isEmpty()) {
                return Either.right(Option.none());
              }
              String value = header.get();
              return value.isBlank() || value.length() > MAX_KEY_CHARACTERS
                  ? Either.left(
                      badRequest(
                          "Idempotency-Key must have 1 to %d characters"
                              .formatted(MAX_KEY_CHARACTERS)))
                  : Either.right(Option.some(new IdempotencyKey(value)));
            });
  }

  // Repeated fields are rejected, as it is ambiguous which value the caller means.
  private static Either<Problem, Option<String>> singleValue(Context context, String name) {
    Value value = context.header(name);
    if (value.isMissing()) {
      return Either.right(Option.none());
    }
    return value.toList().size() > 1
        ? Either.left(badRequest("header %s must not be sent more than once".formatted(name)))
        : Either.right(Option.some(value.value().trim()));
  }

  private static Problem badRequest(String detail) {
    return Problem.notRun(ProblemType.BAD_REQUEST, detail);
  }
}
