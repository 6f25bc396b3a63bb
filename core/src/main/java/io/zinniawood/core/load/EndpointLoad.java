package io.zinniawood.core.load;

/**
 * Load of an endpoint by the requests of all relays, as estimated by one of them.
 *
 * @param requests requests whose path includes the endpoint
 * @param tokens tokens that these requests are expected to occupy
 * @param promptTokens prompt tokens of those requests that have no event yet
 */
public record EndpointLoad(double requests, double tokens, double promptTokens) {}
