package io.zinniawood.core.path;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.NodeAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class PathPlannerTest {
  private static final DataCentreId HERE = new DataCentreId("here");
  private static final DataCentreId THERE = new DataCentreId("there");
  private static final PathCosts COSTS = new PathCosts(1, (from, to) -> 10, 3);
  private static final long SEED = 20_261_204;

  private static PathCandidate candidate(
      String id, DataCentreId dataCentre, int from, int to, double millisPerLayer) {
    return new PathCandidate(
        new EndpointId(id),
        new NodeAddress("10.0.0.1", 1_000 + Math.abs(id.hashCode() % 1_000)),
        dataCentre,
        new LayerRange(from, to),
        millisPerLayer);
  }

  private static List<String> text(Optional<LayerPath> path) {
    return path.orElseThrow().parts().stream()
        .map(
            part ->
                part.endpoint()
                    + "="
                    + part.layers().fromLayer()
                    + "-"
                    + part.layers().toLayerExclusive())
        .toList();
  }

  // Guards against paths that cross data centres although a local one is as fast.
  @Test
  void staysInTheOwnDataCentreIfThatIsCheaper() {
    List<PathCandidate> candidates =
        List.of(
            candidate("a", HERE, 0, 5, 1),
            candidate("b", HERE, 5, 10, 1),
            candidate("c", THERE, 5, 10, 0.5));
    assertThat(
        text(new PathPlanner(10, COSTS).cheapestPath(candidates, HERE)),
        is(List.of("a=0-5", "b=5-10")));
  }

  // Guards against paths through a pipe that is full.
  @Test
  void avoidsCrossingsThatAreNotAllowed() {
    List<PathCandidate> candidates =
        List.of(
            candidate("a", HERE, 0, 5, 1),
            candidate("b", THERE, 0, 10, 9),
            candidate("c", THERE, 5, 10, 1));
    PathCosts full = new PathCosts(1, (from, to) -> Double.POSITIVE_INFINITY, 3);
    assertThat(
        text(new PathPlanner(10, full).cheapestPath(candidates, HERE)),
        is(List.of("b=0-5", "c=5-10")));
  }

  // Guards against refusals when only another data centre holds some layers.
  @Test
  void crossesForLayersThatTheOwnDataCentreLacks() {
    List<PathCandidate> candidates =
        List.of(candidate("a", HERE, 0, 6, 1), candidate("c", THERE, 4, 10, 1));
    assertThat(
        text(new PathPlanner(10, COSTS).cheapestPath(candidates, HERE)).get(0).charAt(0), is('a'));
  }

  // Guards against paths with a gap.
  @Test
  void findsNoPathIfAnyLayerIsMissing() {
    List<PathCandidate> candidates =
        List.of(candidate("a", HERE, 0, 5, 1), candidate("b", HERE, 6, 10, 1));
    assertThat(
        new PathPlanner(10, COSTS).cheapestPath(candidates, HERE), equalTo(Optional.empty()));
  }

  // Guards against an endpoint that appears twice, which engines refuse.
  @Test
  void mergesTwoPartsOfOneEndpoint() {
    List<PathCandidate> candidates =
        List.of(candidate("slow", HERE, 0, 10, 5), candidate("quick", HERE, 4, 6, 0.1));
    LayerPath path = new PathPlanner(10, COSTS).cheapestPath(candidates, HERE).orElseThrow();
    assertThat(path.parts().size(), is(1));
    assertThat(path.first().layers(), is(new LayerRange(0, 10)));
  }

  // Guards against a changed path whose first part differs, which engines refuse.
  @Test
  void keepsTheFirstPartOfContinuedPaths() {
    List<PathCandidate> candidates =
        List.of(
            candidate("first", HERE, 0, 8, 1),
            candidate("b", HERE, 2, 10, 0.1),
            candidate("c", HERE, 5, 10, 1));
    PathPart first =
        new PathPart(new EndpointId("first"), new NodeAddress("10.0.0.1", 1), new LayerRange(0, 4));
    assertThat(
        text(new PathPlanner(10, COSTS).cheapestPathFrom(candidates, first, HERE)),
        is(List.of("first=0-4", "b=4-10")));
  }

  // Every path must run each layer once and in order: LayerPath checks it on construction. A path
  // must exist whenever each layer has a holder, as the naive walk finds it.
  @Test
  void findsPathsWheneverEveryLayerHasSomeHolder() {
    Random random = new Random(SEED);
    for (int round = 0; round < 500; round++) {
      List<PathCandidate> candidates = new ArrayList<>();
      boolean[] held = new boolean[12];
      for (int index = 0; index < 6; index++) {
        int from = random.nextInt(12);
        int to = from + 1 + random.nextInt(12 - from);
        candidates.add(
            candidate(
                "e" + index, random.nextBoolean() ? HERE : THERE, from, to, random.nextDouble()));
        for (int layer = from; layer < to; layer++) {
          held[layer] = true;
        }
      }
      boolean all = true;
      for (boolean layer : held) {
        all &= layer;
      }
      Optional<LayerPath> path = new PathPlanner(12, COSTS).cheapestPath(candidates, HERE);
      assertThat("seed " + SEED + " round " + round, path.isPresent(), is(all));
    }
  }
}
