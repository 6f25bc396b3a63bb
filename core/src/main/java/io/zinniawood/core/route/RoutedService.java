package io.zinniawood.core.route;

import io.zinniawood.core.id.ServiceName;
import java.util.Optional;

/**
 * A service that routes lead to.
 *
 * @param name name of the service
 * @param maxConnections connections that one endpoint accepts from all callers
 * @param engine profile of the model engines; none for a plain service
 */
public record RoutedService(ServiceName name, int maxConnections, Optional<EngineProfile> engine) {}
