package io.zinniawood.agent;

import io.zinniawood.config.settings.AgentSettings;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.store.Table;
import io.zinniawood.store.claim.ClaimRowCodec;
import io.zinniawood.wire.WireTransport;
import java.util.function.LongSupplier;

/**
 * What an agent process needs.
 *
 * @param settings settings
 * @param incarnation run of this process, drawn at random
 * @param seed seed of the random sequence that spreads retries
 * @param wire transport to other processes; the process closes it
 * @param table the platform's table
 * @param codec codec of claim rows
 * @param endpointClient the engine or plain service
 * @param clockNanos monotonic clock in nanoseconds
 */
public record AgentDependencies(
    AgentSettings settings,
    Incarnation incarnation,
    long seed,
    WireTransport wire,
    Table table,
    ClaimRowCodec codec,
    EndpointClient endpointClient,
    LongSupplier clockNanos) {}
