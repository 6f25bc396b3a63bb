package io.zinniawood.config.settings;

import io.vavr.control.Option;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.PoolId;
import io.zinniawood.core.model.NodeAddress;
import java.net.URI;

/**
 * Settings of an agent process.
 *
 * @param endpoint id of the endpoint, equal to the id of its VM
 * @param dataCentre data centre of the VM
 * @param pool pool of the endpoint
 * @param peers listen address of the peer protocol
 * @param platform base address of the platform
 * @param endpointSettings model engine or plain service that the agent runs beside
 * @param keptOutputBytes memory for retained stage outputs, in bytes
 * @param gracePeriodMillis time from the termination request until the process is killed, in
 *     milliseconds
 * @param tls certificates for peer connections, none for plain TCP
 */
public record AgentSettings(
    EndpointId endpoint,
    DataCentreId dataCentre,
    PoolId pool,
    NodeAddress peers,
    URI platform,
    EndpointSettings endpointSettings,
    long keptOutputBytes,
    long gracePeriodMillis,
    Option<TlsSettings> tls) {}
