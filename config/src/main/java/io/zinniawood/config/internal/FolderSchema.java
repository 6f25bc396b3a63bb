package io.zinniawood.config.internal;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.model.Priority;
import java.util.Locale;

/** Tables and keys of the configuration folder; `docs/configuration.md` describes them. */
public final class FolderSchema {
  static final Field<Set<String>> KEYS =
      Field.texts(
              "key_sha256",
              "the SHA-256 of an API key as 64 lower-case hexadecimal digits",
              64,
              text -> text.matches("[0-9a-f]{64}"))
          .or(HashSet.empty());
  static final Field<Double> REQUESTS_PER_SECOND =
      Field.number("requests_per_second", 0, 1_000_000).or(10.0);
  static final Field<Long> BURST_REQUESTS = Field.integer("burst_requests", 0, 1_000_000).or(20L);
  static final Field<Long> MAX_CONCURRENT = Field.integer("max_concurrent", 0, 1_000_000).or(16L);
  static final Field<Long> WEIGHT = Field.integer("weight", 1, 1_000).or(1L);
  static final Field<Priority> PRIORITY =
      Field.choice("priority", Priority.values(), value -> value.name().toLowerCase(Locale.ROOT))
          .or(Priority.NORMAL);

  static final Field<Long> LAYERS = Field.integer("layers", 1, 10_000);
  static final Field<Long> MIN_REPLICAS =
      Field.integer("min_replicas_per_layer", 0, 100_000).or(2L);
  static final Field<Long> MAX_TOKENS = Field.integer("max_tokens", 1, 10_000_000).or(4_096L);
  static final Field<Long> MODEL_DEADLINE =
      Field.integer("default_deadline_ms", 1, 86_400_000).or(60_000L);
  static final Field<String> WEIGHTS_VERSION =
      Field.text(
              "weights_version",
              "a text of 1 to 256 characters",
              text -> !text.isBlank() && text.length() <= 256)
          .or("1");

  static final Field<Set<String>> IDEMPOTENT_METHODS =
      Field.texts(
              "idempotent_methods",
              "an HTTP method in upper case",
              16,
              text -> text.matches("[A-Z]{1,16}"))
          .or(HashSet.of("GET", "HEAD", "OPTIONS"));
  static final Field<Long> SERVICE_DEADLINE =
      Field.integer("default_deadline_ms", 1, 86_400_000).or(5_000L);
  static final Field<Long> KEY_RETENTION = Field.integer("key_retention_hours", 1, 8_784).or(72L);

  static final Field<String> TARGET =
      Field.text("target", "the id of a model or the name of a service", text -> !text.isBlank());
  static final Field<Double> ANSWERED_SHARE =
      Field.number("answered_share", 0, 0.999_999).or(0.999);
  static final Field<Option<Long>> FIRST_TOKEN =
      Field.integer("first_token_ms", 1, 3_600_000).optional();
  static final Field<Option<Long>> TOKEN_GAP =
      Field.integer("token_gap_ms", 1, 3_600_000).optional();
  static final Field<Double> LATENCY_SHARE = Field.number("latency_share", 0, 0.999_999).or(0.95);
  static final Field<Long> MAX_UNKNOWN = Field.integer("max_unknown_per_day", 0, 1_000_000).or(0L);
  static final Field<Long> WINDOW_DAYS = Field.integer("window_days", 1, 92).or(28L);

  static final Field<Long> SUBSET_SIZE = Field.integer("subset_size", 1, 10_000).or(32L);
  static final Field<Double> AFFINITY_LOAD_FACTOR =
      Field.number("affinity_load_factor", 1, 100).or(1.25);
  static final Field<Long> SLOW_START = Field.integer("slow_start_ms", 0, 3_600_000).or(10_000L);
  static final Field<Double> MAX_EJECTED_SHARE = Field.number("max_ejected_share", 0, 1).or(0.5);
  static final Field<Long> PROGRESS_TIMEOUT =
      Field.integer("progress_timeout_ms", 10, 600_000).or(1_000L);

  static final Field<Long> MAX_ATTEMPTS = Field.integer("max_attempts", 1, 100).or(3L);
  static final Field<Double> BUDGET_SHARE = Field.number("budget_share", 0, 1).or(0.1);
  static final Field<Long> BUDGET_MINIMUM = Field.integer("budget_minimum", 0, 100_000).or(10L);
  static final Field<Long> BASE_DELAY = Field.integer("base_delay_ms", 0, 60_000).or(20L);
  static final Field<Long> MAX_DELAY = Field.integer("max_delay_ms", 0, 600_000).or(500L);
  static final Field<Long> ATTEMPT_TIMEOUT =
      Field.integer("attempt_timeout_ms", 1, 3_600_000).or(2_000L);

  static final Field<Long> MAX_LOADS = Field.integer("max_concurrent_loads", 0, 10_000).or(2L);
  static final Field<Long> GRACE = Field.integer("grace_ms", 0, 3_600_000).or(3_000L);
  static final Field<Long> LEASE = Field.integer("lease_ms", 1_000, 600_000).or(6_000L);

  /** Schema of the folder. */
  public static final Schema SCHEMA =
      new Schema(
          Vector.of(
              new TableSpec(
                  "client_accounts",
                  TableSpec.Shape.NAMED,
                  Vector.of(
                      KEYS, REQUESTS_PER_SECOND, BURST_REQUESTS, MAX_CONCURRENT, WEIGHT, PRIORITY)),
              new TableSpec(
                  "models",
                  TableSpec.Shape.NAMED,
                  Vector.of(LAYERS, MIN_REPLICAS, MAX_TOKENS, MODEL_DEADLINE, WEIGHTS_VERSION)),
              new TableSpec(
                  "services",
                  TableSpec.Shape.NAMED,
                  Vector.of(IDEMPOTENT_METHODS, SERVICE_DEADLINE, KEY_RETENTION)),
              new TableSpec(
                  "objectives",
                  TableSpec.Shape.NAMED,
                  Vector.of(
                      TARGET,
                      ANSWERED_SHARE,
                      FIRST_TOKEN,
                      TOKEN_GAP,
                      LATENCY_SHARE,
                      MAX_UNKNOWN,
                      WINDOW_DAYS)),
              new TableSpec(
                  "routing",
                  TableSpec.Shape.SINGLE,
                  Vector.of(
                      SUBSET_SIZE,
                      AFFINITY_LOAD_FACTOR,
                      SLOW_START,
                      MAX_EJECTED_SHARE,
                      PROGRESS_TIMEOUT)),
              new TableSpec(
                  "retries",
                  TableSpec.Shape.SINGLE,
                  Vector.of(
                      MAX_ATTEMPTS,
                      BUDGET_SHARE,
                      BUDGET_MINIMUM,
                      BASE_DELAY,
                      MAX_DELAY,
                      ATTEMPT_TIMEOUT)),
              new TableSpec("repair", TableSpec.Shape.SINGLE, Vector.of(MAX_LOADS, GRACE, LEASE))));

  private FolderSchema() {}
}
