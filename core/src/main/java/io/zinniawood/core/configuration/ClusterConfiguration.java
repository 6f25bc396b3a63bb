package io.zinniawood.core.configuration;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.id.ServiceName;

/**
 * Configuration that results from merging the files of the configuration folder.
 *
 * @param clientAccounts client accounts by id
 * @param models models by id
 * @param services plain services by name
 * @param objectives service-level objectives
 * @param routing how requests are spread over endpoints
 * @param retries limits and delays of retries
 * @param repair when and how replicas of layer ranges are restored
 */
public record ClusterConfiguration(
    Map<ClientAccountId, ClientAccount> clientAccounts,
    Map<ModelId, ModelDefinition> models,
    Map<ServiceName, ServiceDefinition> services,
    Vector<Objective> objectives,
    RoutingPolicy routing,
    RetryPolicy retries,
    RepairPolicy repair) {}
