package io.zinniawood.config.internal;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Set;
import io.zinniawood.core.configuration.ClientAccount;
import io.zinniawood.core.configuration.ClusterConfiguration;
import io.zinniawood.core.configuration.ModelDefinition;
import io.zinniawood.core.configuration.Objective;
import io.zinniawood.core.configuration.RepairPolicy;
import io.zinniawood.core.configuration.RetryPolicy;
import io.zinniawood.core.configuration.RoutingPolicy;
import io.zinniawood.core.configuration.ServiceDefinition;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Writes a cluster configuration as JSON with the tables and keys of the configuration folder,
 * including keys that have their default value.
 */
public final class ClusterWriter {
  private ClusterWriter() {}

  /** Returns the JSON object; ids, keys and set elements are in a fixed order. */
  public static ObjectNode write(ClusterConfiguration cluster) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    ObjectNode accounts = root.putObject("client_accounts");
    cluster
        .clientAccounts()
        .values()
        .toVector()
        .sortBy(ClientAccount::id)
        .forEach(account -> write(accounts.putObject(account.id().value()), account));
    ObjectNode models = root.putObject("models");
    cluster
        .models()
        .values()
        .toVector()
        .sortBy(ModelDefinition::id)
        .forEach(model -> write(models.putObject(model.id().value()), model));
    ObjectNode services = root.putObject("services");
    cluster
        .services()
        .values()
        .toVector()
        .sortBy(ServiceDefinition::name)
        .forEach(service -> write(services.putObject(service.name().value()), service));
    ObjectNode objectives = root.putObject("objectives");
    cluster
        .objectives()
        .sortBy(Objective::name)
        .forEach(objective -> write(objectives.putObject(objective.name()), objective));
    write(root.putObject("routing"), cluster.routing());
    write(root.putObject("retries"), cluster.retries());
    write(root.putObject("repair"), cluster.repair());
    return root;
  }

  private static void write(ObjectNode node, ClientAccount account) {
    putStrings(node, FolderSchema.API_KEY_DIGESTS, account.keySha256Hex());
    node.put(FolderSchema.REQUESTS_PER_SECOND.name(), account.requestsPerSecond());
    node.put(FolderSchema.BURST_REQUESTS.name(), account.burstRequests());
    node.put(FolderSchema.MAX_CONCURRENT.name(), account.maxConcurrent());
    node.put(FolderSchema.WEIGHT.name(), account.weight());
    node.put(FolderSchema.PRIORITY.name(), account.priority().name().toLowerCase(Locale.ROOT));
  }

  private static void write(ObjectNode node, ModelDefinition model) {
    node.put(FolderSchema.LAYERS.name(), model.layers());
    node.put(FolderSchema.MIN_REPLICAS_PER_LAYER.name(), model.minReplicasPerLayer());
    node.put(FolderSchema.MAX_TOKENS.name(), model.maxTokens());
    node.put(FolderSchema.MODEL_DEADLINE_MILLIS.name(), model.defaultDeadlineMillis());
    node.put(FolderSchema.WEIGHTS_VERSION.name(), model.weightsVersion());
  }

  private static void write(ObjectNode node, ServiceDefinition service) {
    putStrings(node, FolderSchema.IDEMPOTENT_METHODS, service.idempotentMethods());
    node.put(FolderSchema.SERVICE_DEADLINE_MILLIS.name(), service.defaultDeadlineMillis());
    node.put(
        FolderSchema.IDEMPOTENCY_KEY_RETENTION_HOURS.name(),
        TimeUnit.MILLISECONDS.toHours(service.keyRetentionMillis()));
  }

  private static void write(ObjectNode node, Objective objective) {
    node.put(FolderSchema.OBJECTIVE_TARGET.name(), objective.target());
    node.put(FolderSchema.ANSWERED_SHARE.name(), objective.answeredShare());
    objective
        .firstTokenMillis()
        .forEach(millis -> node.put(FolderSchema.FIRST_TOKEN_MILLIS.name(), millis));
    objective
        .tokenGapMillis()
        .forEach(millis -> node.put(FolderSchema.TOKEN_GAP_MILLIS.name(), millis));
    node.put(FolderSchema.LATENCY_SHARE.name(), objective.latencyShare());
    node.put(FolderSchema.MAX_UNKNOWN_PER_DAY.name(), objective.maxUnknownPerDay());
    node.put(FolderSchema.WINDOW_DAYS.name(), objective.windowDays());
  }

  private static void write(ObjectNode node, RoutingPolicy routing) {
    node.put(FolderSchema.SUBSET_SIZE.name(), routing.subsetSize());
    node.put(FolderSchema.AFFINITY_LOAD_FACTOR.name(), routing.affinityLoadFactor());
    node.put(FolderSchema.SLOW_START_MILLIS.name(), routing.slowStartMillis());
    node.put(FolderSchema.MAX_EJECTED_SHARE.name(), routing.maxEjectedShare());
    node.put(FolderSchema.PROGRESS_TIMEOUT_MILLIS.name(), routing.progressTimeoutMillis());
  }

  private static void write(ObjectNode node, RetryPolicy retries) {
    node.put(FolderSchema.MAX_ATTEMPTS.name(), retries.maxAttempts());
    node.put(FolderSchema.BUDGET_SHARE.name(), retries.budgetShare());
    node.put(FolderSchema.BUDGET_MINIMUM.name(), retries.budgetMinimum());
    node.put(FolderSchema.BASE_DELAY_MILLIS.name(), retries.baseDelayMillis());
    node.put(FolderSchema.MAX_DELAY_MILLIS.name(), retries.maxDelayMillis());
    node.put(FolderSchema.ATTEMPT_TIMEOUT_MILLIS.name(), retries.attemptTimeoutMillis());
  }

  private static void write(ObjectNode node, RepairPolicy repair) {
    node.put(FolderSchema.MAX_CONCURRENT_LOADS.name(), repair.maxConcurrentLoads());
    node.put(FolderSchema.REPAIR_GRACE_MILLIS.name(), repair.graceMillis());
    node.put(FolderSchema.REPAIR_LEASE_MILLIS.name(), repair.leaseMillis());
  }

  private static void putStrings(ObjectNode node, Field<Set<String>> field, Set<String> strings) {
    ArrayNode array = node.putArray(field.name());
    strings.toVector().sorted().forEach(array::add);
  }
}
