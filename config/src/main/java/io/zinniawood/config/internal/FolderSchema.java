package io.zinniawood.config.internal;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.model.Priority;
import java.util.Locale;

/** Tables and keys of the configuration folder; `docs/configuration.md` describes them. */
public final class FolderSchema {
  static final Field<Set<String>> API_KEY_DIGESTS =
      Field.stringSet(
              "key_sha256",
              "the SHA-256 of an API key as 64 lower-case hexadecimal digits",
              64,
              text -> text.matches("[0-9a-f]{64}"))
          .withDefault(HashSet.empty());
  static final Field<Double> REQUESTS_PER_SECOND =
      Field.number("requests_per_second", 0, 1_000_000).withDefault(10.0);
  static final Field<Long> BURST_REQUESTS =
      Field.integer("burst_requests", 0, 1_000_000).withDefault(20L);
  static final Field<Long> MAX_CONCURRENT =
      Field.integer("max_concurrent", 0, 1_000_000).withDefault(16L);
  static final Field<Long> WEIGHT = Field.integer("weight", 1, 1_000).withDefault(1L);
  static final Field<Priority> PRIORITY =
      Field.choice("priority", Priority.values(), value -> value.name().toLowerCase(Locale.ROOT))
          .withDefault(Priority.NORMAL);

  static final Field<Long> LAYERS = Field.integer("layers", 1, 10_000);
  static final Field<Long> MIN_REPLICAS_PER_LAYER =
      Field.integer("min_replicas_per_layer", 0, 100_000).withDefault(2L);
  static final Field<Long> MAX_TOKENS =
      Field.integer("max_tokens", 1, 10_000_000).withDefault(4_096L);
  static final Field<Long> MODEL_DEADLINE_MILLIS =
      Field.integer("default_deadline_ms", 1, 86_400_000).withDefault(60_000L);
  static final Field<String> WEIGHTS_VERSION =
      Field.string(
              "weights_version",
              "a string of 1 to 256 characters",
              text -> !text.isBlank() && text.length() <= 256)
          .withDefault("1");

  static final Field<Set<String>> IDEMPOTENT_METHODS =
      Field.stringSet(
              "idempotent_methods",
              "an HTTP method in upper case",
              16,
              text -> text.matches("[A-Z]{1,16}"))
          .withDefault(HashSet.of("GET", "HEAD", "OPTIONS"));
  static final Field<Long> SERVICE_DEADLINE_MILLIS =
      Field.integer("default_deadline_ms", 1, 86_400_000).withDefault(5_000L);
  static final Field<Long> IDEMPOTENCY_KEY_RETENTION_HOURS =
      Field.integer("key_retention_hours", 1, 8_784).withDefault(72L);

  static final Field<String> OBJECTIVE_TARGET =
      Field.string("target", "the id of a model or the name of a service", text -> !text.isBlank());
  static final Field<Double> ANSWERED_SHARE =
      Field.number("answered_share", 0, 0.999_999).withDefault(0.999);
  static final Field<Option<Long>> FIRST_TOKEN_MILLIS =
      Field.integer("first_token_ms", 1, 3_600_000).optional();
  static final Field<Option<Long>> TOKEN_GAP_MILLIS =
      Field.integer("token_gap_ms", 1, 3_600_000).optional();
  static final Field<Double> LATENCY_SHARE =
      Field.number("latency_share", 0, 0.999_999).withDefault(0.95);
  static final Field<Long> MAX_UNKNOWN_PER_DAY =
      Field.integer("max_unknown_per_day", 0, 1_000_000).withDefault(0L);
  static final Field<Long> WINDOW_DAYS = Field.integer("window_days", 1, 92).withDefault(28L);

  static final Field<Long> SUBSET_SIZE = Field.integer("subset_size", 1, 10_000).withDefault(32L);
  static final Field<Double> AFFINITY_LOAD_FACTOR =
      Field.number("affinity_load_factor", 1, 100).withDefault(1.25);
  static final Field<Long> SLOW_START_MILLIS =
      Field.integer("slow_start_ms", 0, 3_600_000).withDefault(10_000L);
  static final Field<Double> MAX_EJECTED_SHARE =
      Field.number("max_ejected_share", 0, 1).withDefault(0.5);
  static final Field<Long> PROGRESS_TIMEOUT_MILLIS =
      Field.integer("progress_timeout_ms", 10, 600_000).withDefault(1_000L);

  static final Field<Long> MAX_ATTEMPTS = Field.integer("max_attempts", 1, 100).withDefault(3L);
  static final Field<Double> BUDGET_SHARE = Field.number("budget_share", 0, 1).withDefault(0.1);
  static final Field<Long> BUDGET_MINIMUM =
      Field.integer("budget_minimum", 0, 100_000).withDefault(10L);
  static final Field<Long> BASE_DELAY_MILLIS =
      Field.integer("base_delay_ms", 0, 60_000).withDefault(20L);
  static final Field<Long> MAX_DELAY_MILLIS =
      Field.integer("max_delay_ms", 0, 600_000).withDefault(500L);
  static final Field<Long> ATTEMPT_TIMEOUT_MILLIS =
      Field.integer("attempt_timeout_ms", 1, 3_600_000).withDefault(2_000L);

  static final Field<Long> MAX_CONCURRENT_LOADS =
      Field.integer("max_concurrent_loads", 0, 10_000).withDefault(2L);
  static final Field<Long> REPAIR_GRACE_MILLIS =
      Field.integer("grace_ms", 0, 3_600_000).withDefault(3_000L);
  static final Field<Long> REPAIR_LEASE_MILLIS =
      Field.integer("lease_ms", 1_000, 600_000).withDefault(6_000L);

  /** Schema that every file of the folder is checked against. */
  public static final Schema SCHEMA =
      new Schema(
          Vector.of(
              new TableSpec(
                  "client_accounts",
                  TableSpec.Shape.NAMED,
                  Vector.of(
                      API_KEY_DIGESTS,
                      REQUESTS_PER_SECOND,
                      BURST_REQUESTS,
                      MAX_CONCURRENT,
                      WEIGHT,
                      PRIORITY)),
              new TableSpec(
                  "models",
                  TableSpec.Shape.NAMED,
                  Vector.of(
                      LAYERS,
                      MIN_REPLICAS_PER_LAYER,
                      MAX_TOKENS,
                      MODEL_DEADLINE_MILLIS,
                      WEIGHTS_VERSION)),
              new TableSpec(
                  "services",
                  TableSpec.Shape.NAMED,
                  Vector.of(
                      IDEMPOTENT_METHODS,
                      SERVICE_DEADLINE_MILLIS,
                      IDEMPOTENCY_KEY_RETENTION_HOURS)),
              new TableSpec(
                  "objectives",
                  TableSpec.Shape.NAMED,
                  Vector.of(
                      OBJECTIVE_TARGET,
                      ANSWERED_SHARE,
                      FIRST_TOKEN_MILLIS,
                      TOKEN_GAP_MILLIS,
                      LATENCY_SHARE,
                      MAX_UNKNOWN_PER_DAY,
                      WINDOW_DAYS)),
              new TableSpec(
                  "routing",
                  TableSpec.Shape.SINGLE,
                  Vector.of(
                      SUBSET_SIZE,
                      AFFINITY_LOAD_FACTOR,
                      SLOW_START_MILLIS,
                      MAX_EJECTED_SHARE,
                      PROGRESS_TIMEOUT_MILLIS)),
              new TableSpec(
                  "retries",
                  TableSpec.Shape.SINGLE,
                  Vector.of(
                      MAX_ATTEMPTS,
                      BUDGET_SHARE,
                      BUDGET_MINIMUM,
                      BASE_DELAY_MILLIS,
                      MAX_DELAY_MILLIS,
                      ATTEMPT_TIMEOUT_MILLIS)),
              new TableSpec(
                  "repair",
                  TableSpec.Shape.SINGLE,
                  Vector.of(MAX_CONCURRENT_LOADS, REPAIR_GRACE_MILLIS, REPAIR_LEASE_MILLIS))));

  private FolderSchema() {}
}
