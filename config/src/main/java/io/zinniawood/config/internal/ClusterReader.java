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

/** Builds the cluster configuration from a merged tree and checks what spans several keys. */
public final class ClusterReader {
  private final TableReader reader;

  private ClusterReader(TableReader reader) {
    this.reader = reader;
  }

  /** Returns the configuration, or all faults that the checks of single files cannot see. */
  public static Either<Vector<ConfigurationFault>, ClusterConfiguration> read(ValueTree tree) {
    ClusterReader cluster = new ClusterReader(new TableReader(tree, ""));
    Option<ClusterConfiguration> result = cluster.build();
    cluster.checkKeys();
    cluster.checkObjectives();
    Vector<ConfigurationFault> faults = cluster.reader.faults();
    return faults.isEmpty() && result.isDefined()
        ? Either.right(result.get())
        : Either.left(faults);
  }

  private Option<ClusterConfiguration> build() {
    Vector<Option<ClientAccount>> accounts = ids("client_accounts").map(this::account);
    Vector<Option<ModelDefinition>> models = ids("models").map(this::model);
    Vector<Option<ServiceDefinition>> services = ids("services").map(this::service);
    Vector<Option<Objective>> objectives = ids("objectives").map(this::objective);
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

  private Vector<Vector<String>> ids(String section) {
    return reader.tree().ids(section).map(id -> Vector.of(section, id));
  }

  private Option<ClientAccount> account(Vector<String> table) {
    return reader
        .get(table, FolderSchema.KEYS)
        .flatMap(
            keys ->
                reader
                    .get(table, FolderSchema.REQUESTS_PER_SECOND)
                    .flatMap(
                        rate ->
                            reader
                                .get(table, FolderSchema.PRIORITY)
                                .map(
                                    priority ->
                                        new ClientAccount(
                                            new ClientAccountId(table.last()),
                                            keys,
                                            rate,
                                            number(table, FolderSchema.BURST_REQUESTS),
                                            number(table, FolderSchema.MAX_CONCURRENT),
                                            number(table, FolderSchema.WEIGHT),
                                            priority))));
  }

  private Option<ModelDefinition> model(Vector<String> table) {
    return reader
        .get(table, FolderSchema.WEIGHTS_VERSION)
        .map(
            version ->
                new ModelDefinition(
                    new ModelId(table.last()),
                    number(table, FolderSchema.LAYERS),
                    number(table, FolderSchema.MIN_REPLICAS),
                    number(table, FolderSchema.MAX_TOKENS),
                    longNumber(table, FolderSchema.MODEL_DEADLINE),
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
                    longNumber(table, FolderSchema.SERVICE_DEADLINE),
                    TimeUnit.HOURS.toMillis(longNumber(table, FolderSchema.KEY_RETENTION))));
  }

  private Option<Objective> objective(Vector<String> table) {
    return reader
        .get(table, FolderSchema.TARGET)
        .map(
            target ->
                new Objective(
                    table.last(),
                    target,
                    share(table, FolderSchema.ANSWERED_SHARE),
                    reader.get(table, FolderSchema.FIRST_TOKEN).getOrElse(Option.none()),
                    reader.get(table, FolderSchema.TOKEN_GAP).getOrElse(Option.none()),
                    share(table, FolderSchema.LATENCY_SHARE),
                    number(table, FolderSchema.MAX_UNKNOWN),
                    number(table, FolderSchema.WINDOW_DAYS)));
  }

  private Option<RoutingPolicy> routing() {
    Vector<String> table = Vector.of("routing");
    return Option.of(
        new RoutingPolicy(
            number(table, FolderSchema.SUBSET_SIZE),
            share(table, FolderSchema.AFFINITY_LOAD_FACTOR),
            longNumber(table, FolderSchema.SLOW_START),
            share(table, FolderSchema.MAX_EJECTED_SHARE),
            longNumber(table, FolderSchema.PROGRESS_TIMEOUT)));
  }

  private Option<RetryPolicy> retries() {
    Vector<String> table = Vector.of("retries");
    RetryPolicy policy =
        new RetryPolicy(
            number(table, FolderSchema.MAX_ATTEMPTS),
            share(table, FolderSchema.BUDGET_SHARE),
            number(table, FolderSchema.BUDGET_MINIMUM),
            longNumber(table, FolderSchema.BASE_DELAY),
            longNumber(table, FolderSchema.MAX_DELAY),
            longNumber(table, FolderSchema.ATTEMPT_TIMEOUT));
    if (policy.maxDelayMillis() < policy.baseDelayMillis()) {
      reader.add(
          table.append(FolderSchema.MAX_DELAY.name()),
          Long.toString(policy.maxDelayMillis()),
          "at least base_delay_ms, which is " + policy.baseDelayMillis());
    }
    return Option.of(policy);
  }

  private Option<RepairPolicy> repair() {
    Vector<String> table = Vector.of("repair");
    return Option.of(
        new RepairPolicy(
            number(table, FolderSchema.MAX_LOADS),
            longNumber(table, FolderSchema.GRACE),
            longNumber(table, FolderSchema.LEASE)));
  }

  /** An API key must identify one client account. */
  private void checkKeys() {
    Map<String, String> owners = new HashMap<>();
    for (Vector<String> table : ids("client_accounts")) {
      Vector<String> path = table.append(FolderSchema.KEYS.name());
      Vector<String> keys =
          reader
              .tree()
              .values()
              .get(path)
              .flatMap(found -> FolderSchema.KEYS.convert().apply(found.value()))
              .map(found -> found.toVector().sorted())
              .getOrElse(Vector.empty());
      for (String key : keys) {
        String other = owners.putIfAbsent(key, table.last());
        if (other != null) {
          reader.add(
              path,
              "the key %s..., which client account %s has too"
                  .formatted(key.substring(0, 8), Texts.show(other)),
              "a key of one client account only");
        }
      }
    }
  }

  private void checkObjectives() {
    Vector<String> targets = reader.tree().ids("models").appendAll(reader.tree().ids("services"));
    for (Vector<String> table : ids("objectives")) {
      Vector<String> path = table.append(FolderSchema.TARGET.name());
      reader
          .tree()
          .values()
          .get(path)
          .filter(found -> !targets.exists(target -> target.equals(found.value())))
          .forEach(
              found ->
                  reader.add(
                      path,
                      found.text(),
                      "a configured model or service"
                          + Nearest.to(String.valueOf(found.value()), targets)
                              .map(nearest -> "; the nearest is " + Texts.show(nearest))
                              .getOrElse("")));
    }
  }

  private int number(Vector<String> table, Field<Long> field) {
    return Math.toIntExact(longNumber(table, field));
  }

  /** A value that is missing or wrong is recorded as a fault, so the 0 is never used. */
  private long longNumber(Vector<String> table, Field<Long> field) {
    return reader.get(table, field).getOrElse(0L);
  }

  private double share(Vector<String> table, Field<Double> field) {
    return reader.get(table, field).getOrElse(0.0);
  }
}
