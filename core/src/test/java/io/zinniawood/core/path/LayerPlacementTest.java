package io.zinniawood.core.path;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.zinniawood.core.id.AcceleratorKind;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.route.AcceleratorProfile;
import io.zinniawood.core.route.EngineProfile;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class LayerPlacementTest {
  private static final AcceleratorKind BIG = new AcceleratorKind("a100");
  private static final AcceleratorKind SMALL = new AcceleratorKind("v100");
  private static final AcceleratorKind SLOW = new AcceleratorKind("l4");
  private static final EngineProfile ENGINE =
      new EngineProfile(
          80,
          1_750,
          14,
          6,
          1.02,
          0.0066,
          0.0000088,
          4,
          164_000,
          845_373,
          42_268,
          19_000,
          774,
          210,
          Map.of(
              BIG, new AcceleratorProfile(BIG, 72_000, 2.4, 3.2),
              SMALL, new AcceleratorProfile(SMALL, 14_400, 5.3, 7.9),
              SLOW, new AcceleratorProfile(SLOW, 21_600, 16, 8.2)));

  private static final LayerPlacement PLACEMENT = new LayerPlacement(ENGINE);

  private static EndpointLayers empty(String id, String dataCentre, AcceleratorKind kind) {
    return new EndpointLayers(
        new EndpointId(id), new DataCentreId(dataCentre), kind, Optional.empty());
  }

  private static List<EndpointLayers> fleet() {
    return fleet(new int[][] {{1, 6, 6}, {1, 10, 4}, {2, 4, 4}});
  }

  private static List<EndpointLayers> grownFleet() {
    return fleet(new int[][] {{2, 9, 10}, {1, 14, 5}, {2, 6, 7}});
  }

  private static List<EndpointLayers> fleet(int[][] counts) {
    List<EndpointLayers> fleet = new ArrayList<>();
    String[] centres = {"a", "b", "c"};
    AcceleratorKind[] kinds = {BIG, SMALL, SLOW};
    for (int centre = 0; centre < centres.length; centre++) {
      for (int kind = 0; kind < kinds.length; kind++) {
        for (int index = 0; index < counts[centre][kind]; index++) {
          fleet.add(empty(centres[centre] + kinds[kind] + index, centres[centre], kinds[kind]));
        }
      }
    }
    return fleet;
  }

  private static int[] cover(
      List<EndpointLayers> fleet, Map<EndpointId, LayerRange> placed, String in) {
    int[] cover = new int[80];
    for (EndpointLayers holding : fleet) {
      LayerRange range = holding.layers().orElse(placed.get(holding.endpoint()));
      if (range != null && (in.isEmpty() || holding.dataCentre().value().equals(in))) {
        for (int layer = range.fromLayer(); layer < range.toLayerExclusive(); layer++) {
          cover[layer]++;
        }
      }
    }
    return cover;
  }

  private static int least(int[] cover) {
    int least = Integer.MAX_VALUE;
    for (int holders : cover) {
      least = Math.min(least, holders);
    }
    return least;
  }

  // An engine that is ordered to hold more than its memory crashes.
  @Test
  void neverExceedsTheMemoryOfAnAccelerator() {
    for (AcceleratorProfile kind : ENGINE.accelerators().values()) {
      double used = PLACEMENT.layerCapacity(kind.kind()) * ENGINE.layerMegabytes();
      assertThat(used, lessThan(kind.memoryMegabytes()));
    }
  }

  // Without room for requests beside the layers the engines preempt them.
  @Test
  void leavesRoomForHundredUsualRequests() {
    for (AcceleratorProfile kind : ENGINE.accelerators().values()) {
      double tokens = ENGINE.tokenCapacity(kind, PLACEMENT.layerCapacity(kind.kind()));
      assertThat(tokens, greaterThanOrEqualTo(100.0 * 984));
    }
  }

  // Guards against a data centre that needs another one for every request.
  @Test
  void coversEveryLayerInEachDataCentre() {
    List<EndpointLayers> fleet = fleet();
    Map<EndpointId, LayerRange> placed = PLACEMENT.assignLayers(fleet);
    for (String centre : List.of("a", "b", "c")) {
      assertThat("data centre " + centre, least(cover(fleet, placed, centre)) >= 1, is(true));
    }
    assertThat(least(cover(fleet, placed, "")), greaterThanOrEqualTo(3));
  }

  // The layer with the fewest holders bounds what the fleet can serve: each layer must have as many
  // holders as there are whole copies.
  @Test
  void levelsTheHoldersOfAllLayers() {
    for (List<EndpointLayers> fleet : List.of(fleet(), grownFleet())) {
      int[] cover = cover(fleet, PLACEMENT.assignLayers(fleet), "");
      int held = 0;
      for (int holders : cover) {
        held += holders;
      }
      assertThat(least(cover), greaterThanOrEqualTo(held / 80));
    }
  }

  // Pipes between data centres carry few prompts, so each data centre needs whole copies of its
  // own:
  // holders of a layer beyond the copies that the data centre can hold are of little use there.
  @Test
  void levelsTheHoldersWithinEachDataCentre() {
    for (List<EndpointLayers> fleet : List.of(fleet(), grownFleet())) {
      Map<EndpointId, LayerRange> placed = PLACEMENT.assignLayers(fleet);
      for (String centre : List.of("a", "b", "c")) {
        int[] cover = cover(fleet, placed, centre);
        int held = 0;
        for (int holders : cover) {
          held += holders;
        }
        int copies = (held + 79) / 80;
        int useful = 0;
        for (int holders : cover) {
          useful += Math.min(holders, copies);
        }
        assertThat(
            "data centre " + centre, useful, greaterThanOrEqualTo((int) Math.ceil(0.95 * held)));
      }
    }
  }

  // Guards against a second holder while the only holder of other layers is lost.
  @Test
  void givesAnEmptyEndpointTheLayersThatNobodyHolds() {
    List<EndpointLayers> fleet = new ArrayList<>();
    fleet.add(held("x", new LayerRange(0, 30)));
    fleet.add(held("y", new LayerRange(50, 80)));
    fleet.add(empty("z", "a", BIG));
    LayerRange range = PLACEMENT.assignLayers(fleet).get(new EndpointId("z"));
    assertThat(range.fromLayer() <= 30 && range.toLayerExclusive() >= 50, is(true));
  }

  // A loss must cost the load that replaces it and no other.
  @Test
  void leavesEndpointsThatHoldLayersAlone() {
    List<EndpointLayers> fleet = List.of(held("x", new LayerRange(0, 30)), empty("z", "a", SMALL));
    assertThat(PLACEMENT.assignLayers(fleet).containsKey(new EndpointId("x")), is(false));
  }

  private static EndpointLayers held(String id, LayerRange range) {
    return new EndpointLayers(new EndpointId(id), new DataCentreId("a"), BIG, Optional.of(range));
  }
}
