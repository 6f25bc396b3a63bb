package io.zinniawood.core.limit;

import io.zinniawood.core.id.EndpointIncarnation;
import io.zinniawood.core.id.VmId;

/**
 * Permits that one process gives to another, which the giver cannot use any more.
 *
 * @param receiver VM of the process that may use the permits
 * @param permits number of requests, 1 or greater
 */
public record PermitGift(VmId receiver, EndpointIncarnation endpoint, int permits) {}
