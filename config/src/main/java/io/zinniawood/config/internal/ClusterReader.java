package io.zinniawood.config.internal;

import io.vavr.Tuple;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.config.ConfigurationFault;
import io.zinniawood.core.configuration.ClientAccount;
import io.zinniawood.core.configuration.ClusterConfiguration;
import io.zinniawood.core.configuration.ModelDefinition;
import io.zinniawood.core.configuration.Objective;
import io.zinniawood.core.configuration.RepairPolicy;
import io.zinniawood.core.configuration.RetryPolicy;
import io.zinniawood.core.configuration.RoutingPolicy;
import io.zinniawood.core.configuration.ServiceDefinition;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.id.ServiceName;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Builds the cluster configuration from a merged tree and checks rules that span several keys. */
public final class ClusterReader {
  private final TableReader reader;

  private ClusterReader(TableReader reader) {
    this.reader = reader;
  }

  /**
   * Returns the configuration, or all faults of the merged tree, such as missing required keys and
   * values that contradict each other.
   */
  public static Either<Vector<ConfigurationFault>, ClusterConfiguration> read(ValueTree tree) {
    ClusterReader cluster = new ClusterReader(new TableReader(tree, ""));
    Option<ClusterConfiguration> result = cluster.build();
    cluster.checkApiKeys();
    cluster.checkObjectiveTargets();
    Vector<ConfigurationFault> faults = cluster.reader.faults();
    return faults.isEmpty() && result.isDefined()
        ? Either.right(result.get())
        : Either.left(faults);
  }

  private Option<ClusterConfiguration> build() {
    Vector<Option<ClientAccount>> accounts = tablePaths("client_accounts").map(this::account);
    Vector<Option<ModelDefinition>> models = tablePaths("models").map(this::model);
    Vector<Option<ServiceDefinition>> services = tablePaths("services").map(this::service);
    Vector<Option<Objective>> objectives = tablePaths("objectives").map(this::objective);
    Option<RoutingPolicy> routing = routing();
    Option<RetryPolicy> retries = retries();
    Option<RepairPolicy> repair = repair();
    if (routing.isEmpty() || retries.isEmpty() || repair.isEmpty()) {
      return Option.none();
    }
    return Option.of(
        new ClusterConfiguration(
            TreeMap.ofEntries(
                accounts.flatMap(found -> found).map(found -> Tuple.of(found.id(), found))),
            TreeMap.ofEntries(
                models.flatMap(found -> found).map(found -> Tuple.of(found.id(), found))),
            TreeMap.ofEntries(
                services.flatMap(found -> found).map(found -> Tuple.of(found.name(), found))),
            objectives.flatMap(found -> found),
            routing.get(),
            retries.get(),
            repair.get()));
  }

  private Vector<Vector<String>> tablePaths(String section) {
    return reader.tree().tableIds(section).map(id -> Vector.of(section, id));
  }

  private Option<ClientAccount> account(Vector<String> table) {
    return reader
        .get(table, FolderSchema.API_KEY_DIGESTS)
        .flatMap(
            keys ->
                reader
                    .get(table, FolderSchema.REQUESTS_PER_SECOND)
                    .flatMap(
                        requestsPerSecond ->
                            reader
                                .get(table, FolderSchema.PRIORITY)
                                .map(
                                    priority ->
                                        new ClientAccount(
                                            new ClientAccountId(table.last()),
                                            keys,
                                            requestsPerSecond,
                                            intValue(table, FolderSchema.BURST_REQUESTS),
                                            intValue(table, FolderSchema.MAX_CONCURRENT),
                                            intValue(table, FolderSchema.WEIGHT),
                                            priority))));
  }

  private Option<ModelDefinition> model(Vector<String> table) {
    return reader
        .get(table, FolderSchema.WEIGHTS_VERSION)
        .map(
            version ->
                new ModelDefinition(
                    new ModelId(table.last()),
                    intValue(table, FolderSchema.LAYERS),
                    intValue(table, FolderSchema.MIN_REPLICAS_PER_LAYER),
                    intValue(table, FolderSchema.MAX_TOKENS),
                    longValue(table, FolderSchema.MODEL_DEADLINE_MILLIS),
                    version));
  }

  private Option<ServiceDefinition> service(Vector<String> table) {
    return reader
        .get(table, FolderSchema.IDEMPOTENT_METHODS)
        .map(
            methods ->
                new ServiceDefinition(
                    new ServiceName(table.last()),
                    methods,
                    longValue(table, FolderSchema.SERVICE_DEADLINE_MILLIS),
                    TimeUnit.HOURS.toMillis(
                        longValue(table, FolderSchema.IDEMPOTENCY_KEY_RETENTION_HOURS))));
  }

  private Option<Objective> objective(Vector<String> table) {
    return reader
        .get(table, FolderSchema.OBJECTIVE_TARGET)
        .map(
            target ->
                new Objective(
                    table.last(),
                    target,
                    doubleValue(table, FolderSchema.ANSWERED_SHARE),
                    reader.get(table, FolderSchema.FIRST_TOKEN_MILLIS).getOrElse(Option.none()),
                    reader.get(table, FolderSchema.TOKEN_GAP_MILLIS).getOrElse(Option.none()),
                    doubleValue(table, FolderSchema.LATENCY_SHARE),
                    intValue(table, FolderSchema.MAX_UNKNOWN_PER_DAY),
                    intValue(table, FolderSchema.WINDOW_DAYS)));
  }

  private Option<RoutingPolicy> routing() {
    Vector<String> table = Vector.of("routing");
    return Option.of(
        new RoutingPolicy(
            intValue(table, FolderSchema.SUBSET_SIZE),
            doubleValue(table, FolderSchema.AFFINITY_LOAD_FACTOR),
            longValue(table, FolderSchema.SLOW_START_MILLIS),
            doubleValue(table, FolderSchema.MAX_EJECTED_SHARE),
            longValue(table, FolderSchema.PROGRESS_TIMEOUT_MILLIS)));
  }

  private Option<RetryPolicy> retries() {
    Vector<String> table = Vector.of("retries");
    RetryPolicy policy =
        new RetryPolicy(
            intValue(table, FolderSchema.MAX_ATTEMPTS),
            doubleValue(table, FolderSchema.BUDGET_SHARE),
            intValue(table, FolderSchema.BUDGET_MINIMUM),
            longValue(table, FolderSchema.BASE_DELAY_MILLIS),
            longValue(table, FolderSchema.MAX_DELAY_MILLIS),
            longValue(table, FolderSchema.ATTEMPT_TIMEOUT_MILLIS));
    if (policy.maxDelayMillis() < policy.baseDelayMillis()) {
      reader.addFault(
          table.append(FolderSchema.MAX_DELAY_MILLIS.name()),
          Long.toString(policy.maxDelayMillis()),
          "at least base_delay_ms, which is " + policy.baseDelayMillis());
    }
    return Option.of(policy);
  }

  private Option<RepairPolicy> repair() {
    Vector<String> table = Vector.of("repair");
    return Option.of(
        new RepairPolicy(
            intValue(table, FolderSchema.MAX_CONCURRENT_LOADS),
            longValue(table, FolderSchema.REPAIR_GRACE_MILLIS),
            longValue(table, FolderSchema.REPAIR_LEASE_MILLIS)));
  }

  /** Checks that each API key digest belongs to only one client account. */
  private void checkApiKeys() {
    Map<String, String> accountsByKey = new HashMap<>();
    for (Vector<String> table : tablePaths("client_accounts")) {
      Vector<String> path = table.append(FolderSchema.API_KEY_DIGESTS.name());
      Vector<String> keys =
          reader
              .tree()
              .values()
              .get(path)
              .flatMap(found -> FolderSchema.API_KEY_DIGESTS.convert().apply(found.value()))
              .map(found -> found.toVector().sorted())
              .getOrElse(Vector.empty());
      for (String key : keys) {
        String other = accountsByKey.putIfAbsent(key, table.last());
        if (other != null) {
          reader.addFault(
              path,
              "the key %s..., which client account %s also has"
                  .formatted(key.substring(0, 8), ValueFormatter.abbreviate(other)),
              "a key of one client account only");
        }
      }
    }
  }

  /** Checks that the target of each objective is a configured model or service. */
  private void checkObjectiveTargets() {
    Vector<String> targets =
        reader.tree().tableIds("models").appendAll(reader.tree().tableIds("services"));
    for (Vector<String> table : tablePaths("objectives")) {
      Vector<String> path = table.append(FolderSchema.OBJECTIVE_TARGET.name());
      reader
          .tree()
          .values()
          .get(path)
          .filter(found -> !targets.exists(target -> target.equals(found.value())))
          .forEach(
              found ->
                  reader.addFault(
                      path,
                      found.text(),
                      "a configured model or service"
                          + ClosestName.find(String.valueOf(found.value()), targets)
                              .map(
                                  closest ->
                                      "; the nearest is " + ValueFormatter.abbreviate(closest))
                              .getOrElse("")));
    }
  }

  private int intValue(Vector<String> table, Field<Long> field) {
    return Math.toIntExact(longValue(table, field));
  }

  /**
   * Returns the value of an integer key, or 0 if it is missing or invalid. The reader records a
   * fault in that case, so that no configuration with the 0 is returned.
   */
  private long longValue(Vector<String> table, Field<Long> field) {
    return reader.get(table, field).getOrElse(0L);
  }

  private double doubleValue(Vector<String> table, Field<Double> field) {
    return reader.get(table, field).getOrElse(0.0);
  }
}
