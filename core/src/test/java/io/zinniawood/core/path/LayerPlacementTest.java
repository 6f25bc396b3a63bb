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

  private static List<EndpointLayers> largerFleet() {
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

  private static int[] holdersPerLayer(
      List<EndpointLayers> fleet, Map<EndpointId, LayerRange> placed, String dataCentre) {
    int[] holdersOfLayers = new int[80];
    for (EndpointLayers endpoint : fleet) {
      LayerRange range = endpoint.layers().orElse(placed.get(endpoint.endpoint()));
      if (range != null
          && (dataCentre.isEmpty() || endpoint.dataCentre().value().equals(dataCentre))) {
        for (int layer = range.fromLayer(); layer < range.toLayerExclusive(); layer++) {
          holdersOfLayers[layer]++;
        }
      }
    }
    return holdersOfLayers;
  }

  private static int fewestHolders(int[] holdersOfLayers) {
    int fewest = Integer.MAX_VALUE;
    for (int holders : holdersOfLayers) {
      fewest = Math.min(fewest, holders);
    }
    return fewest;
  }

  // An engine crashes if it is ordered to load more layers than fit in its memory.
  @Test
  void neverExceedsTheMemoryOfAnAccelerator() {
    for (AcceleratorProfile kind : ENGINE.accelerators().values()) {
      double used = PLACEMENT.layerCapacity(kind.kind()) * ENGINE.layerMegabytes();
      assertThat(used, lessThan(kind.memoryMegabytes()));
    }
  }

  // Engines preempt requests that do not fit in memory beside the layers.
  @Test
  void leavesRoomForHundredMeanSizedRequests() {
    for (AcceleratorProfile kind : ENGINE.accelerators().values()) {
      double tokens = ENGINE.tokenCapacity(kind, PLACEMENT.layerCapacity(kind.kind()));
      assertThat(tokens, greaterThanOrEqualTo(100.0 * 984));
    }
  }

  // Guards against a data centre that depends on another one for every request.
  @Test
  void coversEveryLayerInEachDataCentre() {
    List<EndpointLayers> fleet = fleet();
    Map<EndpointId, LayerRange> placed = PLACEMENT.assignLayers(fleet);
    for (String centre : List.of("a", "b", "c")) {
      assertThat(
          "data centre " + centre,
          fewestHolders(holdersPerLayer(fleet, placed, centre)) >= 1,
          is(true));
    }
    assertThat(fewestHolders(holdersPerLayer(fleet, placed, "")), greaterThanOrEqualTo(3));
  }

  // The layer with the fewest holders limits the throughput of the fleet: each layer must have as
  // many holders as the fleet holds whole copies of the model.
  @Test
  void balancesTheHoldersOfAllLayers() {
    for (List<EndpointLayers> fleet : List.of(fleet(), largerFleet())) {
      int[] holdersOfLayers = holdersPerLayer(fleet, PLACEMENT.assignLayers(fleet), "");
      int held = 0;
      for (int holders : holdersOfLayers) {
        held += holders;
      }
      assertThat(fewestHolders(holdersOfLayers), greaterThanOrEqualTo(held / 80));
    }
  }

  // The links between data centres carry few prompts, so each data centre needs whole copies of the
  // model. Holders of a layer beyond the number of copies add little there.
  @Test
  void balancesTheHoldersWithinEachDataCentre() {
    for (List<EndpointLayers> fleet : List.of(fleet(), largerFleet())) {
      Map<EndpointId, LayerRange> placed = PLACEMENT.assignLayers(fleet);
      for (String centre : List.of("a", "b", "c")) {
        int[] holdersOfLayers = holdersPerLayer(fleet, placed, centre);
        int held = 0;
        for (int holders : holdersOfLayers) {
          held += holders;
        }
        int copies = (held + 79) / 80;
        int useful = 0;
        for (int holders : holdersOfLayers) {
          useful += Math.min(holders, copies);
        }
        assertThat(
            "data centre " + centre, useful, greaterThanOrEqualTo((int) Math.ceil(0.95 * held)));
      }
    }
  }

  // Guards against adding a second holder for some layers while other layers have none.
  @Test
  void assignsLayersWithoutHolderToAnEmptyEndpoint() {
    List<EndpointLayers> fleet = new ArrayList<>();
    fleet.add(held("x", new LayerRange(0, 30)));
    fleet.add(held("y", new LayerRange(50, 80)));
    fleet.add(empty("z", "a", BIG));
    LayerRange range = PLACEMENT.assignLayers(fleet).get(new EndpointId("z"));
    assertThat(range.fromLayer() <= 30 && range.toLayerExclusive() >= 50, is(true));
  }

  // Losing an endpoint must cause only the load that replaces it.
  @Test
  void keepsTheLayersOfEndpointsThatHoldSome() {
    List<EndpointLayers> fleet = List.of(held("x", new LayerRange(0, 30)), empty("z", "a", SMALL));
    assertThat(PLACEMENT.assignLayers(fleet).containsKey(new EndpointId("x")), is(false));
  }

  private static EndpointLayers held(String id, LayerRange range) {
    return new EndpointLayers(new EndpointId(id), new DataCentreId("a"), BIG, Optional.of(range));
  }
}
