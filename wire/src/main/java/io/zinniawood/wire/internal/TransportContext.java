package io.zinniawood.wire.internal;

import io.zinniawood.core.id.Generation;
import io.zinniawood.wire.WirePeer;
import io.zinniawood.wire.WireTiming;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * What all connections of a process share.
 *
 * @param self identity of this process
 * @param generation generation of the configuration that this process has
 * @param timing times of the protocol
 * @param probeBudget probe budget of the process
 * @param clockNanos monotonic clock in nanoseconds
 */
record TransportContext(
    WirePeer self,
    Supplier<Generation> generation,
    WireTiming timing,
    ProbeBudget probeBudget,
    LongSupplier clockNanos) {}
