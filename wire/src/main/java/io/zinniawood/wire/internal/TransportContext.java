package io.zinniawood.wire.internal;

import io.zinniawood.core.id.Generation;
import io.zinniawood.wire.WirePeer;
import io.zinniawood.wire.WireTiming;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * State that all connections of a transport share.
 *
 * @param self identity of this process
 * @param generation supplies the current configuration generation of this process
 * @param timing timeouts and probe intervals
 * @param probeBudget rate limit of probes on idle connections
 * @param clockNanos monotonic clock in nanoseconds
 */
record TransportContext(
    WirePeer self,
    Supplier<Generation> generation,
    WireTiming timing,
    ProbeBudget probeBudget,
    LongSupplier clockNanos) {}
