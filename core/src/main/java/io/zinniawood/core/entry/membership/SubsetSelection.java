package io.zinniawood.core.entry.membership;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Hashing;
import io.zinniawood.core.id.PoolId;
import io.zinniawood.core.id.VmId;
import java.util.Comparator;

/** Chooses the endpoints of each pool to which an entry connects, by rendezvous hashing. */
public final class SubsetSelection {
  private SubsetSelection() {}

  /**
   * Returns the chosen endpoints of all pools.
   *
   * @param self entry that chooses
   * @param candidates endpoints that may be chosen
   * @param subsetSize maximum number of endpoints of each pool; values below 1 count as 1
   */
  public static Set<EndpointId> choose(VmId self, Vector<Member> candidates, int subsetSize) {
    Set<EndpointId> chosen = HashSet.empty();
    for (var pool : candidates.groupBy(member -> member.placement().pool())) {
      chosen = chosen.addAll(choosePool(self, pool._1, pool._2, Math.max(1, subsetSize)));
    }
    return chosen;
  }

  private static Vector<EndpointId> choosePool(
      VmId self, PoolId pool, Vector<Member> members, int subsetSize) {
    long salt = Hashing.combine(Hashing.of(self.value()), Hashing.of(pool.value()));
    return members
        .map(Member::endpoint)
        .sorted(
            Comparator.<EndpointId>comparingLong(
                    endpoint -> Hashing.combine(salt, Hashing.of(endpoint.value())))
                .thenComparing(Comparator.naturalOrder()))
        .take(subsetSize);
  }
}
