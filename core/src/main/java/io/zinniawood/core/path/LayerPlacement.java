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
  private static final int FLEET_COVER = 2;

  private final EngineProfile engine;

  /** Creates a placement for the engines of one service. */
  public LayerPlacement(EngineProfile engine) {
    this.engine = engine;
  }

  /** Returns the number of layers that an endpoint of a kind takes; 0 if the kind is unknown. */
  public int layersOf(AcceleratorKind kind) {
    AcceleratorProfile accelerator = engine.accelerator(kind).orElse(null);
    if (accelerator == null) {
      return 0;
    }
    int usualTokens = engine.usualPromptTokens() + engine.usualAnswerTokens();
    int held = engine.layers();
    while (held > 0
        && engine.tokensBeside(accelerator, held) < (double) RESERVED_REQUESTS * usualTokens) {
      held--;
    }
    return held;
  }

  /**
   * Returns the ranges for the empty endpoints, in the order in which they should be loaded.
   *
   * @param holdings all endpoints of the service that serve and stay
   */
  public Map<EndpointId, LayerRange> fill(List<Holding> holdings) {
    Coverage coverage = new Coverage(holdings);
    List<Holding> empty = new ArrayList<>();
    for (Holding holding : holdings) {
      if (holding.layers().isEmpty() && layersOf(holding.accelerator()) > 0) {
        empty.add(holding);
      }
    }
    empty.sort(
        Comparator.comparing((Holding holding) -> slowness(holding.accelerator()))
            .thenComparing(holding -> -layersOf(holding.accelerator()))
            .thenComparing(Holding::dataCentre)
            .thenComparing(Holding::endpoint));
    Map<EndpointId, LayerRange> chosen = new LinkedHashMap<>();
    for (Holding holding : empty) {
      LayerRange range = coverage.leastCovered(holding);
      coverage.add(holding, range);
      chosen.put(holding.endpoint(), range);
    }
    for (int pass = 0; pass < IMPROVEMENTS; pass++) {
      for (Holding holding : empty) {
        coverage.remove(holding, chosen.get(holding.endpoint()));
        LayerRange range = coverage.leastCovered(holding);
        coverage.add(holding, range);
        chosen.put(holding.endpoint(), range);
      }
    }
    return chosen;
  }

  private double slowness(AcceleratorKind kind) {
    return engine.accelerator(kind).map(AcceleratorProfile::stepFactor).orElse(0.0);
  }

  private boolean isSlow(AcceleratorKind kind) {
    return engine.accelerator(kind).map(engine::isSlow).orElse(false);
  }

  /** Endpoints of one class of speed in one data centre, or in all. */
  private record Group(DataCentreId dataCentre, boolean slow) {}

  /** Holders of each layer. */
  private final class Coverage {
    private final int[] fleet = new int[engine.layers()];
    private final Map<DataCentreId, int[]> byDataCentre = new HashMap<>();
    private final Map<Group, int[]> byClass = new HashMap<>();
    private final Map<Group, int[]> edgesByClass = new HashMap<>();

    Coverage(List<Holding> holdings) {
      for (Holding holding : holdings) {
        holding.layers().ifPresent(range -> add(holding, range));
      }
    }

    void add(Holding holding, LayerRange range) {
      count(holding, range, 1);
    }

    void remove(Holding holding, LayerRange range) {
      count(holding, range, -1);
    }

    private void count(Holding holding, LayerRange range, int change) {
      int[] own = holders(holding.dataCentre(), holding);
      int[] ofClass = holders(ANYWHERE, holding);
      int[] local = local(holding.dataCentre());
      int to = Math.min(engine.layers(), range.toLayerExclusive());
      for (int layer = range.fromLayer(); layer < to; layer++) {
        fleet[layer] += change;
        own[layer] += change;
        local[layer] += change;
        ofClass[layer] += change;
      }
      int[] edges = edges(holding);
      if (range.fromLayer() <= engine.layers()) {
        edges[range.fromLayer()] += change;
        edges[to] += change;
      }
    }

    private int[] local(DataCentreId dataCentre) {
      return byDataCentre.computeIfAbsent(dataCentre, centre -> new int[engine.layers()]);
    }

    private int[] holders(DataCentreId dataCentre, Holding holding) {
      return byClass.computeIfAbsent(
          new Group(dataCentre, isSlow(holding.accelerator())), group -> new int[engine.layers()]);
    }

    private int[] edges(Holding holding) {
      return edgesByClass.computeIfAbsent(
          new Group(holding.dataCentre(), isSlow(holding.accelerator())),
          group -> {
            int[] edges = new int[engine.layers() + 1];
            edges[0] = 1;
            edges[engine.layers()] = 1;
            return edges;
          });
    }

    LayerRange leastCovered(Holding holding) {
      int length = layersOf(holding.accelerator());
      int[] own = holders(holding.dataCentre(), holding);
      int[] ofClass = holders(ANYWHERE, holding);
      int[] local = local(holding.dataCentre());
      int[] edges = edges(holding);
      int best = 0;
      double bestCost = Double.POSITIVE_INFINITY;
      for (int from = 0; from + length <= engine.layers(); from++) {
        double cost = 0;
        for (int layer = from; layer < from + length; layer++) {
          cost -= fleet[layer] == 0 ? UNCOVERED_GAIN : 0;
          cost -= fleet[layer] < FLEET_COVER ? THIN_GAIN : 0;
          cost -= LOCAL_GAIN / ((1 + local[layer]) * (1 + local[layer]));
          cost -= 1.0 / ((1 + own[layer]) * (1 + own[layer]));
          cost -= CLASS_GAIN / ((1 + ofClass[layer]) * (1 + ofClass[layer]));
          cost -= LEVEL_GAIN / ((1 + fleet[layer]) * (1 + fleet[layer]));
        }
        cost -= edges[from] > 0 ? JOIN_GAIN : 0;
        cost -= edges[from + length] > 0 ? JOIN_GAIN : 0;
        if (cost < bestCost) {
          bestCost = cost;
          best = from;
        }
      }
      return new LayerRange(best, best + length);
    }
  }

  /** Gain for a layer that nobody holds, in holders of a layer in the own data centre. */
  private static final double UNCOVERED_GAIN = 100;

  /** Gain for a layer that fewer than {@link #FLEET_COVER} endpoints hold. */
  private static final double THIN_GAIN = 0.2;

  /** Gain for a layer that no endpoint of the own data centre holds. */
  private static final double LOCAL_GAIN = 8;

  /** Gain for a layer that no endpoint of the same class of speed holds in any data centre. */
  private static final double CLASS_GAIN = 0.5;

  /** Gain for a layer that no endpoint of the fleet holds; the thinnest layer bounds the flow. */
  private static final double LEVEL_GAIN = 2;

  /** Passes over the chosen ranges in which each may move once the others are known. */
  private static final int IMPROVEMENTS = 3;

  /** Stands for all data centres in the counts of holders. */
  private static final DataCentreId ANYWHERE = new DataCentreId("*");

  /** Gain for a range that begins or ends where another one does. */
  private static final double JOIN_GAIN = 0.05;
}
