package io.zinniawood.core.load;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.Hashing;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.id.VmId;

/**
 * Hashes by which relays name services and links in notices; an endpoint knows its own ({@link
 * io.zinniawood.core.fleet.TrackedEndpoint#loadHash}). Two of 1,400 endpoints share a hash with
 * probability 1 in 4,400; both then show the load of both.
 */
public final class LoadHashes {
  private LoadHashes() {}

  /** Returns the hash of a service. */
  public static int of(ServiceName service) {
    return (int) Hashing.of(service.value());
  }

  /** Returns the hash of the link from one data centre to another. */
  public static int ofLink(DataCentreId from, DataCentreId to) {
    return (int) Hashing.combine(Hashing.of(from.value()), Hashing.of(to.value()));
  }

  /** Returns the hash of a relay for {@link #rendezvous}. */
  public static long of(VmId relay) {
    return Hashing.of(relay.value());
  }

  /** Returns a number in [0, 1) by which a relay ranks an endpoint, each relay differently. */
  public static double rendezvous(long relayHash, int endpointHash) {
    return Hashing.toUnitInterval(Hashing.combine(relayHash, endpointHash));
  }
}
