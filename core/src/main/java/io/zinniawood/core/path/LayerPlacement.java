package io.zinniawood.core.path;

import io.zinniawood.core.id.AcceleratorKind;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.route.AcceleratorProfile;
import io.zinniawood.core.route.EngineProfile;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Assigns layer ranges to empty endpoints. Endpoints that hold layers keep them, so losing an
 * endpoint causes only the load that replaces it.
 *
 * <p>An empty endpoint gets the range with the highest gain from additional holders. In decreasing
 * order of weight, the gain counts:
 *
 * <ol>
 *   <li>layers without any holder, because a missing layer blocks every request;
 *   <li>layers with few holders in the endpoint's data centre, because the links between data
 *       centres carry few prompts;
 *   <li>layers with few holders in the fleet, because the layer with the fewest holders limits the
 *       throughput;
 *   <li>layers with few holders in the endpoint's speed class, because the slowest parts determine
 *       the speed of a path;
 *   <li>range boundaries shared with other endpoints.
 * </ol>
 *
 * <p>Fast endpoints are assigned first, so that paths without slow endpoints exist.
 */
public final class LayerPlacement {
  /**
   * Requests of mean size whose tokens must fit in memory beside the layers. Requests in flight
   * limit throughput before the number of layer copies does.
   */
  private static final int RESERVED_REQUESTS = 100;

  /** Target number of holders of each layer in the whole fleet; one more than that adds little. */
  private static final int TARGET_HOLDERS_PER_LAYER = 2;

  private final EngineProfile engine;

  /** Creates a placement for the engines of a service. */
  public LayerPlacement(EngineProfile engine) {
    this.engine = engine;
  }

  /** Returns the number of layers per endpoint of an accelerator kind; 0 if it is unknown. */
  public int layerCapacity(AcceleratorKind kind) {
    AcceleratorProfile accelerator = engine.accelerator(kind).orElse(null);
    if (accelerator == null) {
      return 0;
    }
    int meanTokens = engine.meanPromptTokens() + engine.meanAnswerTokens();
    int layerCount = engine.layers();
    while (layerCount > 0
        && engine.tokenCapacity(accelerator, layerCount)
            < (double) RESERVED_REQUESTS * meanTokens) {
      layerCount--;
    }
    return layerCount;
  }

  /**
   * Returns the layer ranges for the empty endpoints, in the order in which they should be loaded.
   *
   * @param endpoints all endpoints of the service that are in use and not leaving
   */
  public Map<EndpointId, LayerRange> assignLayers(List<EndpointLayers> endpoints) {
    Coverage coverage = new Coverage(endpoints);
    List<EndpointLayers> empty = new ArrayList<>();
    for (EndpointLayers endpoint : endpoints) {
      if (endpoint.layers().isEmpty() && layerCapacity(endpoint.accelerator()) > 0) {
        empty.add(endpoint);
      }
    }
    empty.sort(
        Comparator.comparing((EndpointLayers endpoint) -> stepTimeFactor(endpoint.accelerator()))
            .thenComparing(endpoint -> -layerCapacity(endpoint.accelerator()))
            .thenComparing(EndpointLayers::dataCentre)
            .thenComparing(EndpointLayers::endpoint));
    Map<EndpointId, LayerRange> chosen = new LinkedHashMap<>();
    for (EndpointLayers endpoint : empty) {
      LayerRange range = coverage.leastCoveredRange(endpoint);
      coverage.add(endpoint, range);
      chosen.put(endpoint.endpoint(), range);
    }
    for (int pass = 0; pass < IMPROVEMENT_PASSES; pass++) {
      for (EndpointLayers endpoint : empty) {
        coverage.remove(endpoint, chosen.get(endpoint.endpoint()));
        LayerRange range = coverage.leastCoveredRange(endpoint);
        coverage.add(endpoint, range);
        chosen.put(endpoint.endpoint(), range);
      }
    }
    return chosen;
  }

  private double stepTimeFactor(AcceleratorKind kind) {
    return engine.accelerator(kind).map(AcceleratorProfile::stepTimeFactor).orElse(0.0);
  }

  private boolean isSlow(AcceleratorKind kind) {
    return engine.accelerator(kind).map(engine::isSlow).orElse(false);
  }

  /** Endpoints of one speed class, in one data centre or in {@link #ALL_DATA_CENTRES}. */
  private record Group(DataCentreId dataCentre, boolean slow) {}

  /** Numbers of holders of each layer, by data centre and speed class. */
  private final class Coverage {
    private final int[] fleetHolders = new int[engine.layers()];
    private final Map<DataCentreId, int[]> dataCentreHolders = new HashMap<>();
    private final Map<Group, int[]> speedClassHolders = new HashMap<>();
    private final Map<Group, int[]> boundaryCountsByClass = new HashMap<>();

    Coverage(List<EndpointLayers> endpoints) {
      for (EndpointLayers endpoint : endpoints) {
        endpoint.layers().ifPresent(range -> add(endpoint, range));
      }
    }

    void add(EndpointLayers endpoint, LayerRange range) {
      addToCounts(endpoint, range, 1);
    }

    void remove(EndpointLayers endpoint, LayerRange range) {
      addToCounts(endpoint, range, -1);
    }

    private void addToCounts(EndpointLayers endpoint, LayerRange range, int change) {
      int[] classInCentre = holdersInSpeedClass(endpoint.dataCentre(), endpoint);
      int[] classInFleet = holdersInSpeedClass(ALL_DATA_CENTRES, endpoint);
      int[] inCentre = holdersInDataCentre(endpoint.dataCentre());
      int to = Math.min(engine.layers(), range.toLayerExclusive());
      for (int layer = range.fromLayer(); layer < to; layer++) {
        fleetHolders[layer] += change;
        classInCentre[layer] += change;
        inCentre[layer] += change;
        classInFleet[layer] += change;
      }
      int[] rangeEnds = boundaryCounts(endpoint);
      if (range.fromLayer() <= engine.layers()) {
        rangeEnds[range.fromLayer()] += change;
        rangeEnds[to] += change;
      }
    }

    private int[] holdersInDataCentre(DataCentreId dataCentre) {
      return dataCentreHolders.computeIfAbsent(dataCentre, centre -> new int[engine.layers()]);
    }

    private int[] holdersInSpeedClass(DataCentreId dataCentre, EndpointLayers endpoint) {
      return speedClassHolders.computeIfAbsent(
          new Group(dataCentre, isSlow(endpoint.accelerator())), group -> new int[engine.layers()]);
    }

    private int[] boundaryCounts(EndpointLayers endpoint) {
      return boundaryCountsByClass.computeIfAbsent(
          new Group(endpoint.dataCentre(), isSlow(endpoint.accelerator())),
          group -> {
            int[] rangeEnds = new int[engine.layers() + 1];
            rangeEnds[0] = 1;
            rangeEnds[engine.layers()] = 1;
            return rangeEnds;
          });
    }

    LayerRange leastCoveredRange(EndpointLayers endpoint) {
      int length = layerCapacity(endpoint.accelerator());
      int[] classInCentre = holdersInSpeedClass(endpoint.dataCentre(), endpoint);
      int[] classInFleet = holdersInSpeedClass(ALL_DATA_CENTRES, endpoint);
      int[] inCentre = holdersInDataCentre(endpoint.dataCentre());
      int[] rangeEnds = boundaryCounts(endpoint);
      int bestFrom = 0;
      double bestCost = Double.POSITIVE_INFINITY;
      for (int from = 0; from + length <= engine.layers(); from++) {
        double cost = 0;
        for (int layer = from; layer < from + length; layer++) {
          cost -= fleetHolders[layer] == 0 ? UNHELD_LAYER_GAIN : 0;
          cost -= fleetHolders[layer] < TARGET_HOLDERS_PER_LAYER ? BELOW_TARGET_GAIN : 0;
          cost -= DATA_CENTRE_GAIN / ((1 + inCentre[layer]) * (1 + inCentre[layer]));
          cost -= 1.0 / ((1 + classInCentre[layer]) * (1 + classInCentre[layer]));
          cost -= SPEED_CLASS_GAIN / ((1 + classInFleet[layer]) * (1 + classInFleet[layer]));
          cost -= FLEET_GAIN / ((1 + fleetHolders[layer]) * (1 + fleetHolders[layer]));
        }
        cost -= rangeEnds[from] > 0 ? SHARED_BOUNDARY_GAIN : 0;
        cost -= rangeEnds[from + length] > 0 ? SHARED_BOUNDARY_GAIN : 0;
        if (cost < bestCost) {
          bestCost = cost;
          bestFrom = from;
        }
      }
      return new LayerRange(bestFrom, bestFrom + length);
    }
  }

  /**
   * Gain for a layer without any holder. All gains are relative to the gain of 1 for a layer that
   * has no holder of the endpoint's speed class in its data centre.
   */
  private static final double UNHELD_LAYER_GAIN = 100;

  /**
   * Additional gain for a layer with fewer than {@link #TARGET_HOLDERS_PER_LAYER} holders in the
   * fleet.
   */
  private static final double BELOW_TARGET_GAIN = 0.2;

  /** Gain for a layer without a holder in the data centre; falls with the square of holders + 1. */
  private static final double DATA_CENTRE_GAIN = 8;

  /** Gain for a layer without a holder of the speed class in any data centre; falls likewise. */
  private static final double SPEED_CLASS_GAIN = 0.5;

  /**
   * Gain for a layer without a holder in the fleet; falls likewise. The layer with the fewest
   * holders limits the throughput.
   */
  private static final double FLEET_GAIN = 2;

  /** Passes that choose each range again, given the ranges of all other endpoints. */
  private static final int IMPROVEMENT_PASSES = 3;

  /** Key of the counts over all data centres. */
  private static final DataCentreId ALL_DATA_CENTRES = new DataCentreId("*");

  /** Gain for each end of a range that coincides with the end of another range or of the model. */
  private static final double SHARED_BOUNDARY_GAIN = 0.05;
}
