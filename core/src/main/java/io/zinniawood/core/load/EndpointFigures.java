package io.zinniawood.core.load;

/**
 * Load that one relay brings to one endpoint.
 *
 * @param endpoint hash of the id of the endpoint; see {@link LoadHashes}
 * @param figures requests whose path includes the endpoint
 */
public record EndpointFigures(int endpoint, LoadFigures figures) {}
