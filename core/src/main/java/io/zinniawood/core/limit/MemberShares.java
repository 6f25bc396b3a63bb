package io.zinniawood.core.limit;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Hashing;
import io.zinniawood.core.id.VmId;
import java.util.Set;

/**
 * Divides limits among members that all agree on who the members are. A limit that is too small for
 * all of them is divided among a few, which rendezvous hashing selects for each endpoint. A member
 * that cannot be sure that all others count it takes a part that is small enough for all members to
 * do so at once.
 *
 * @param self this process
 * @param members all processes that may use the endpoints, with this one; empty if unknown
 * @param agreed whether all members are known to count the same members
 */
public record MemberShares(VmId self, Set<VmId> members, boolean agreed) implements LimitShares {
  /** Minimum rate of a process that has a share, in requests a second. */
  private static final double MIN_HOLDER_REQUESTS_PER_SECOND = 1;

  /** Part of its equal share that a process takes while the members may disagree. */
  private static final double UNCERTAIN_PART = 0.5;

  /** Minimum number of members that a process assumes while it may not know all of them. */
  private static final int MIN_ASSUMED_MEMBERS = 4;

  /** Makes an unmodifiable copy of the members. */
  public MemberShares {
    members = Set.copyOf(members);
  }

  @Override
  public double shareOf(EndpointId endpoint, double requestsPerSecond) {
    if (members.isEmpty()) {
      return 0;
    }
    if (!agreed) {
      return UNCERTAIN_PART / Math.max(MIN_ASSUMED_MEMBERS, members.size());
    }
    int holders =
        (int)
            Math.max(
                1, Math.min(members.size(), requestsPerSecond / MIN_HOLDER_REQUESTS_PER_SECOND));
    return rank(endpoint) < holders ? 1.0 / holders : 0;
  }

  private int rank(EndpointId endpoint) {
    long own = score(self, endpoint);
    int before = 0;
    for (VmId member : members) {
      before += Long.compareUnsigned(score(member, endpoint), own) > 0 ? 1 : 0;
    }
    return before;
  }

  private static long score(VmId member, EndpointId endpoint) {
    return Hashing.combine(Hashing.of(endpoint.value()), Hashing.of(member.value()));
  }

  /** Returns a hash of members that does not depend on their order. */
  public static long digest(Set<VmId> members) {
    long digest = 0;
    for (VmId member : members) {
      digest ^= Hashing.of(member.value());
    }
    return digest;
  }
}
