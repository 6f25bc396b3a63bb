package io.zinniawood.agent;

import io.zinniawood.config.settings.AgentSettings;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.store.Table;
import io.zinniawood.store.claim.ClaimRowCodec;
import io.zinniawood.wire.WireTransport;
import java.util.function.LongSupplier;

/**
 * Settings, clients and clock of an agent process.
 *
 * @param settings identity, addresses and bounds of the agent
 * @param incarnation random number that identifies this run of the process
 * @param seed seed of the random sequence that adds jitter to retry delays
 * @param transport carries messages to other processes; the process closes it
 * @param table the platform's table
 * @param codec codec of claim rows
 * @param endpointClient client of the model engine or plain service beside the agent
 * @param clockNanos monotonic clock in nanoseconds
 */
public record AgentDependencies(
    AgentSettings settings,
    Incarnation incarnation,
    long seed,
    WireTransport transport,
    Table table,
    ClaimRowCodec codec,
    EndpointClient endpointClient,
    LongSupplier clockNanos) {}
