package io.zinniawood.core.route;

import io.zinniawood.core.id.ServiceName;
import java.util.Optional;

/**
 * Service that is the target of routes.
 *
 * @param maxConnections maximum number of connections that one endpoint accepts in total
 * @param engine profile of the model engines; empty for a plain service
 */
public record RoutedService(ServiceName name, int maxConnections, Optional<EngineProfile> engine) {}
