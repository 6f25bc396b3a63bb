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
 * Chooses layers for empty endpoints. Endpoints that hold layers keep them, so a loss costs no load
 * beyond the one that replaces it. An empty endpoint takes the range that is covered least: first
 * over the whole fleet, as a layer that nobody holds stops every request, then in its own data
 * centre, as the pipes between data centres carry few prompts, then among endpoints of its class of
 * speed, as a path is as slow as its slowest parts. Among equals it takes the range that joins the
 * ends of others. Fast endpoints choose first, so that paths without slow ones exist.
 */
public final class LayerPlacement {
  /**
   * Usual requests whose tokens must fit beside the layers. Requests in flight bound the flow
   * before the copies of the layers do: the fleet of kolikko-kioski holds 4.6 copies of 62 requests
   * at 60, and 3.7 copies of 108 at 100.
   */
  private static final int RESERVED_REQUESTS = 100;

  /** Holders of a layer beyond which one more in the whole fleet is of no use. */
  private static final int TARGET_HOLDERS_PER_LAYER = 2;

  private final EngineProfile engine;

  /** Creates a placement for the engines of one service. */
  public LayerPlacement(EngineProfile engine) {
    this.engine = engine;
  }

  /** Returns the number of layers that an endpoint of a kind takes; 0 if the kind is unknown. */
  public int layerCapacity(AcceleratorKind kind) {
    AcceleratorProfile accelerator = engine.accelerator(kind).orElse(null);
    if (accelerator == null) {
      return 0;
    }
    int usualTokens = engine.meanPromptTokens() + engine.meanAnswerTokens();
    int held = engine.layers();
    while (held > 0
        && engine.tokenCapacity(accelerator, held) < (double) RESERVED_REQUESTS * usualTokens) {
      held--;
    }
    return held;
  }

  /**
   * Returns the ranges for the empty endpoints, in the order in which they should be loaded.
   *
   * @param holdings all endpoints of the service that serve and stay
   */
  public Map<EndpointId, LayerRange> assignLayers(List<EndpointLayers> holdings) {
    Coverage coverage = new Coverage(holdings);
    List<EndpointLayers> empty = new ArrayList<>();
    for (EndpointLayers holding : holdings) {
      if (holding.layers().isEmpty() && layerCapacity(holding.accelerator()) > 0) {
        empty.add(holding);
      }
    }
    empty.sort(
        Comparator.comparing((EndpointLayers holding) -> stepTimeFactor(holding.accelerator()))
            .thenComparing(holding -> -layerCapacity(holding.accelerator()))
            .thenComparing(EndpointLayers::dataCentre)
            .thenComparing(EndpointLayers::endpoint));
    Map<EndpointId, LayerRange> chosen = new LinkedHashMap<>();
    for (EndpointLayers holding : empty) {
      LayerRange range = coverage.leastCoveredRange(holding);
      coverage.add(holding, range);
      chosen.put(holding.endpoint(), range);
    }
    for (int pass = 0; pass < IMPROVEMENT_PASSES; pass++) {
      for (EndpointLayers holding : empty) {
        coverage.remove(holding, chosen.get(holding.endpoint()));
        LayerRange range = coverage.leastCoveredRange(holding);
        coverage.add(holding, range);
        chosen.put(holding.endpoint(), range);
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

  /** Endpoints of one class of speed in one data centre, or in all. */
  private record Group(DataCentreId dataCentre, boolean slow) {}

  /** Holders of each layer. */
  private final class Coverage {
    private final int[] fleetHolders = new int[engine.layers()];
    private final Map<DataCentreId, int[]> dataCentreHolders = new HashMap<>();
    private final Map<Group, int[]> speedClassHolders = new HashMap<>();
    private final Map<Group, int[]> rangesEndingByClass = new HashMap<>();

    Coverage(List<EndpointLayers> holdings) {
      for (EndpointLayers holding : holdings) {
        holding.layers().ifPresent(range -> add(holding, range));
      }
    }

    void add(EndpointLayers holding, LayerRange range) {
      addToCounts(holding, range, 1);
    }

    void remove(EndpointLayers holding, LayerRange range) {
      addToCounts(holding, range, -1);
    }

    private void addToCounts(EndpointLayers holding, LayerRange range, int change) {
      int[] own = holdersInSpeedClass(holding.dataCentre(), holding);
      int[] ofClass = holdersInSpeedClass(ALL_DATA_CENTRES, holding);
      int[] local = holdersInDataCentre(holding.dataCentre());
      int to = Math.min(engine.layers(), range.toLayerExclusive());
      for (int layer = range.fromLayer(); layer < to; layer++) {
        fleetHolders[layer] += change;
        own[layer] += change;
        local[layer] += change;
        ofClass[layer] += change;
      }
      int[] edges = rangesEndingAt(holding);
      if (range.fromLayer() <= engine.layers()) {
        edges[range.fromLayer()] += change;
        edges[to] += change;
      }
    }

    private int[] holdersInDataCentre(DataCentreId dataCentre) {
      return dataCentreHolders.computeIfAbsent(dataCentre, centre -> new int[engine.layers()]);
    }

    private int[] holdersInSpeedClass(DataCentreId dataCentre, EndpointLayers holding) {
      return speedClassHolders.computeIfAbsent(
          new Group(dataCentre, isSlow(holding.accelerator())), group -> new int[engine.layers()]);
    }

    private int[] rangesEndingAt(EndpointLayers holding) {
      return rangesEndingByClass.computeIfAbsent(
          new Group(holding.dataCentre(), isSlow(holding.accelerator())),
          group -> {
            int[] edges = new int[engine.layers() + 1];
            edges[0] = 1;
            edges[engine.layers()] = 1;
            return edges;
          });
    }

    LayerRange leastCoveredRange(EndpointLayers holding) {
      int length = layerCapacity(holding.accelerator());
      int[] own = holdersInSpeedClass(holding.dataCentre(), holding);
      int[] ofClass = holdersInSpeedClass(ALL_DATA_CENTRES, holding);
      int[] local = holdersInDataCentre(holding.dataCentre());
      int[] edges = rangesEndingAt(holding);
      int best = 0;
      double bestCost = Double.POSITIVE_INFINITY;
      for (int from = 0; from + length <= engine.layers(); from++) {
        double cost = 0;
        for (int layer = from; layer < from + length; layer++) {
          cost -= fleetHolders[layer] == 0 ? UNHELD_LAYER_GAIN : 0;
          cost -= fleetHolders[layer] < TARGET_HOLDERS_PER_LAYER ? BELOW_TARGET_GAIN : 0;
          cost -= DATA_CENTRE_GAIN / ((1 + local[layer]) * (1 + local[layer]));
          cost -= 1.0 / ((1 + own[layer]) * (1 + own[layer]));
          cost -= SPEED_CLASS_GAIN / ((1 + ofClass[layer]) * (1 + ofClass[layer]));
          cost -= FLEET_GAIN / ((1 + fleetHolders[layer]) * (1 + fleetHolders[layer]));
        }
        cost -= edges[from] > 0 ? SHARED_BOUNDARY_GAIN : 0;
        cost -= edges[from + length] > 0 ? SHARED_BOUNDARY_GAIN : 0;
        if (cost < bestCost) {
          bestCost = cost;
          best = from;
        }
      }
      return new LayerRange(best, best + length);
    }
  }

  /** Gain for a layer that nobody holds, in holders of a layer in the own data centre. */
  private static final double UNHELD_LAYER_GAIN = 100;

  /** Gain for a layer that fewer than {@link #TARGET_HOLDERS_PER_LAYER} endpoints hold. */
  private static final double BELOW_TARGET_GAIN = 0.2;

  /** Gain for a layer that no endpoint of the own data centre holds. */
  private static final double DATA_CENTRE_GAIN = 8;

  /** Gain for a layer that no endpoint of the same class of speed holds in any data centre. */
  private static final double SPEED_CLASS_GAIN = 0.5;

  /** Gain for a layer that no endpoint of the fleet holds; the thinnest layer bounds the flow. */
  private static final double FLEET_GAIN = 2;

  /** Passes over the chosen ranges in which each may move once the others are known. */
  private static final int IMPROVEMENT_PASSES = 3;

  /** Stands for all data centres in the counts of holders. */
  private static final DataCentreId ALL_DATA_CENTRES = new DataCentreId("*");

  /** Gain for a range that begins or ends where another one does. */
  private static final double SHARED_BOUNDARY_GAIN = 0.05;
}
