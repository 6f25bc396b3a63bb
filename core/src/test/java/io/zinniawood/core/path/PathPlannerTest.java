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
  private static final DataCentreId HOME = new DataCentreId("here");
  private static final DataCentreId REMOTE = new DataCentreId("there");
  private static final PathCosts COSTS = new PathCosts(1, (from, to) -> 10, 3);
  private static final long SEED = 20_261_204;

  private static PathCandidate candidate(
      String id, DataCentreId dataCentre, int from, int to, double millisPerLayer) {
    return new PathCandidate(
        new EndpointId(id),
        new NodeAddress("10.0.0.1", 1_000 + Math.abs(id.hashCode() % 1_000)),
        dataCentre,
        new LayerRange(from, to),
        millisPerLayer,
        true);
  }

  private static List<String> partTexts(Optional<LayerPath> path) {
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

  // Guards against paths that change the data centre although a local path is cheaper.
  @Test
  void staysInTheHomeDataCentreIfThatIsCheaper() {
    List<PathCandidate> candidates =
        List.of(
            candidate("a", HOME, 0, 5, 1),
            candidate("b", HOME, 5, 10, 1),
            candidate("c", REMOTE, 5, 10, 0.5));
    assertThat(
        partTexts(new PathPlanner(10, COSTS).cheapestPath(candidates, HOME)),
        is(List.of("a=0-5", "b=5-10")));
  }

  // Guards against paths over a saturated link, whose cost is infinite.
  @Test
  void avoidsHopsOfInfiniteCost() {
    List<PathCandidate> candidates =
        List.of(
            candidate("a", HOME, 0, 5, 1),
            candidate("b", REMOTE, 0, 10, 9),
            candidate("c", REMOTE, 5, 10, 1));
    PathCosts saturated = new PathCosts(1, (from, to) -> Double.POSITIVE_INFINITY, 3);
    assertThat(
        partTexts(new PathPlanner(10, saturated).cheapestPath(candidates, HOME)),
        is(List.of("b=0-5", "c=5-10")));
  }

  // Guards against refused requests when some layers are held only in another data centre.
  @Test
  void usesAnotherDataCentreForLayersMissingInTheHomeDataCentre() {
    List<PathCandidate> candidates =
        List.of(candidate("a", HOME, 0, 6, 1), candidate("c", REMOTE, 4, 10, 1));
    assertThat(
        partTexts(new PathPlanner(10, COSTS).cheapestPath(candidates, HOME)).get(0).charAt(0),
        is('a'));
  }

  // Guards against paths with a gap in the layers.
  @Test
  void findsNoPathIfAnyLayerIsMissing() {
    List<PathCandidate> candidates =
        List.of(candidate("a", HOME, 0, 5, 1), candidate("b", HOME, 6, 10, 1));
    assertThat(
        new PathPlanner(10, COSTS).cheapestPath(candidates, HOME), equalTo(Optional.empty()));
  }

  // Engines refuse a path that contains an endpoint twice.
  @Test
  void mergesTwoPartsOfOneEndpoint() {
    List<PathCandidate> candidates =
        List.of(candidate("slow", HOME, 0, 10, 5), candidate("quick", HOME, 4, 6, 0.1));
    LayerPath path = new PathPlanner(10, COSTS).cheapestPath(candidates, HOME).orElseThrow();
    assertThat(path.parts().size(), is(1));
    assertThat(path.first().layers(), is(new LayerRange(0, 10)));
  }

  // Engines refuse a path change that alters the first part.
  @Test
  void keepsTheFirstPartOfContinuedPaths() {
    List<PathCandidate> candidates =
        List.of(
            candidate("first", HOME, 0, 8, 1),
            candidate("b", HOME, 2, 10, 0.1),
            candidate("c", HOME, 5, 10, 1));
    PathPart first =
        new PathPart(new EndpointId("first"), new NodeAddress("10.0.0.1", 1), new LayerRange(0, 4));
    assertThat(
        partTexts(new PathPlanner(10, COSTS).cheapestPathFrom(candidates, first, HOME)),
        is(List.of("first=0-4", "b=4-10")));
  }

  // A path must be found exactly when each layer has a holder. The constructor of LayerPath checks
  // that the path covers each layer once and in order.
  @Test
  void findsPathExactlyWhenEveryLayerHasHolder() {
    Random random = new Random(SEED);
    for (int round = 0; round < 500; round++) {
      List<PathCandidate> candidates = new ArrayList<>();
      boolean[] held = new boolean[12];
      for (int index = 0; index < 6; index++) {
        int from = random.nextInt(12);
        int to = from + 1 + random.nextInt(12 - from);
        candidates.add(
            candidate(
                "e" + index, random.nextBoolean() ? HOME : REMOTE, from, to, random.nextDouble()));
        for (int layer = from; layer < to; layer++) {
          held[layer] = true;
        }
      }
      boolean allHeld = true;
      for (boolean layer : held) {
        allHeld &= layer;
      }
      Optional<LayerPath> path = new PathPlanner(12, COSTS).cheapestPath(candidates, HOME);
      assertThat("seed " + SEED + " round " + round, path.isPresent(), is(allHeld));
    }
  }
}
