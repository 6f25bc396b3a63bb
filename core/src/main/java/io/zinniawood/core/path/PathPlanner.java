package io.zinniawood.core.path;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.model.LayerRange;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Finds the cheapest path through all layers by dynamic programming over layer boundaries and data
 * centres. Only layers where some endpoint's range begins or ends are considered as boundaries:
 * switching endpoints at any other layer never lowers the cost.
 */
public final class PathPlanner {
  private final int layerCount;
  private final PathCosts costs;

  /**
   * Creates a planner for one model.
   *
   * @param layerCount number of layers of the model
   * @param costs costs in addition to the pass times
   */
  public PathPlanner(int layerCount, PathCosts costs) {
    this.layerCount = layerCount;
    this.costs = costs;
  }

  /**
   * Returns the cheapest path, or empty if no allowed path covers all layers or the cheapest has
   * more than {@link LayerPath#MAX_PARTS} parts.
   *
   * @param candidates endpoints that may be used
   * @param home data centre in which the request starts
   */
  public Optional<LayerPath> cheapestPath(List<PathCandidate> candidates, DataCentreId home) {
    return new Search(candidates, home, Optional.empty()).run();
  }

  /**
   * Returns the cheapest path that begins with the given part, or empty if no allowed path covers
   * all layers or the cheapest has more than {@link LayerPath#MAX_PARTS} parts.
   *
   * @param candidates endpoints that may be used
   * @param first part that receives the request and is kept unchanged
   * @param dataCentre data centre of the first part
   */
  public Optional<LayerPath> cheapestPathFrom(
      List<PathCandidate> candidates, PathPart first, DataCentreId dataCentre) {
    List<PathCandidate> others = new ArrayList<>();
    for (PathCandidate candidate : candidates) {
      if (!candidate.endpoint().equals(first.endpoint())) {
        others.add(candidate);
      }
    }
    return new Search(others, dataCentre, Optional.of(first)).run();
  }

  /** Tables of the dynamic program, indexed by layer boundary and data centre. */
  private final class Search {
    private final List<PathCandidate> candidates;
    private final List<DataCentreId> dataCentres = new ArrayList<>();
    private final int[] candidateCentres;
    private final int home;
    private final int startLayer;
    private final Optional<PathPart> first;
    private final int[] boundaries;
    private final double[][] cost;
    private final int[][] lastCandidate;
    private final int[][] lastBoundary;
    private final int[][] lastCentre;

    /** Costs of hops between data centres that were asked for; NaN for the others. */
    private final double[][] hopMillis;

    Search(List<PathCandidate> candidates, DataCentreId homeCentre, Optional<PathPart> first) {
      this.candidates = candidates;
      this.first = first;
      this.home = centreIndex(homeCentre);
      this.candidateCentres = new int[candidates.size()];
      TreeSet<Integer> boundaryLayers = new TreeSet<>();
      this.startLayer = first.map(part -> part.layers().toLayerExclusive()).orElse(0);
      boundaryLayers.add(startLayer);
      boundaryLayers.add(layerCount);
      for (int index = 0; index < candidates.size(); index++) {
        PathCandidate candidate = candidates.get(index);
        candidateCentres[index] = centreIndex(candidate.dataCentre());
        addBoundary(boundaryLayers, candidate.layers().fromLayer());
        addBoundary(boundaryLayers, candidate.layers().toLayerExclusive());
      }
      this.boundaries = boundaryLayers.stream().mapToInt(Integer::intValue).toArray();
      this.cost = new double[boundaries.length][dataCentres.size()];
      this.lastCandidate = new int[boundaries.length][dataCentres.size()];
      this.lastBoundary = new int[boundaries.length][dataCentres.size()];
      this.lastCentre = new int[boundaries.length][dataCentres.size()];
      this.hopMillis = new double[dataCentres.size()][dataCentres.size()];
      for (double[] row : hopMillis) {
        Arrays.fill(row, Double.NaN);
      }
      for (double[] row : cost) {
        Arrays.fill(row, Double.POSITIVE_INFINITY);
      }
    }

    private void addBoundary(TreeSet<Integer> boundaryLayers, int layer) {
      if (layer > startLayer && layer < layerCount) {
        boundaryLayers.add(layer);
      }
    }

    private int centreIndex(DataCentreId dataCentre) {
      int index = dataCentres.indexOf(dataCentre);
      if (index < 0) {
        dataCentres.add(dataCentre);
        index = dataCentres.size() - 1;
      }
      return index;
    }

    Optional<LayerPath> run() {
      if (startLayer >= layerCount) {
        return first.map(part -> new LayerPath(List.of(part)));
      }
      for (int from = 0; from < boundaries.length - 1; from++) {
        for (int index = 0; index < candidates.size(); index++) {
          extendPaths(from, index);
        }
      }
      return tracePath();
    }

    private void extendPaths(int from, int index) {
      PathCandidate candidate = candidates.get(index);
      LayerRange held = candidate.layers();
      int start = boundaries[from];
      boolean receivesRequest = from == 0 && first.isEmpty();
      if (held.fromLayer() > start
          || held.toLayerExclusive() <= start
          || (receivesRequest && !candidate.mayBeFirst())) {
        return;
      }
      int centre = candidateCentres[index];
      int before = from == 0 ? home : cheapestPreviousCentre(from, centre);
      double base = from == 0 ? startCost(centre) : cost[from][before] + hopCost(before, centre);
      if (Double.isInfinite(base)) {
        return;
      }
      for (int to = from + 1;
          to < boundaries.length && boundaries[to] <= held.toLayerExclusive();
          to++) {
        double total =
            base + costs.partMillis() + (boundaries[to] - start) * candidate.millisPerLayer();
        if (total < cost[to][centre]) {
          cost[to][centre] = total;
          lastCandidate[to][centre] = index;
          lastBoundary[to][centre] = from;
          lastCentre[to][centre] = before;
        }
      }
    }

    private double startCost(int centre) {
      if (centre == home) {
        return 0;
      }
      return first.isPresent()
          ? hopCost(home, centre)
          : costs.entryHop().millisBetween(dataCentres.get(home), dataCentres.get(centre));
    }

    private double hopCost(int before, int centre) {
      if (before == centre) {
        return 0;
      }
      double known = hopMillis[before][centre];
      if (!Double.isNaN(known)) {
        return known;
      }
      double millis =
          costs.dataCentreHop().millisBetween(dataCentres.get(before), dataCentres.get(centre));
      hopMillis[before][centre] = millis;
      return millis;
    }

    private int cheapestPreviousCentre(int boundary, int centre) {
      int best = centre;
      double bestCost = cost[boundary][centre];
      for (int other = 0; other < dataCentres.size(); other++) {
        double total = cost[boundary][other] + hopCost(other, centre);
        if (total < bestCost) {
          best = other;
          bestCost = total;
        }
      }
      return best;
    }

    private Optional<LayerPath> tracePath() {
      int boundary = boundaries.length - 1;
      int centre = 0;
      for (int other = 1; other < dataCentres.size(); other++) {
        if (cost[boundary][other] < cost[boundary][centre]) {
          centre = other;
        }
      }
      if (Double.isInfinite(cost[boundary][centre])) {
        return Optional.empty();
      }
      List<PathPart> parts = new ArrayList<>();
      while (boundary > 0) {
        PathCandidate candidate = candidates.get(lastCandidate[boundary][centre]);
        int from = lastBoundary[boundary][centre];
        prepend(parts, candidate, new LayerRange(boundaries[from], boundaries[boundary]));
        centre = lastCentre[boundary][centre];
        boundary = from;
      }
      first.ifPresent(part -> parts.add(0, part));
      return parts.size() > LayerPath.MAX_PARTS
          ? Optional.empty()
          : Optional.of(new LayerPath(parts));
    }

    // A path must not contain an endpoint twice. An endpoint holds all layers between two of its
    // parts, so these parts and the ones between them are replaced by a single part.
    private void prepend(List<PathPart> parts, PathCandidate candidate, LayerRange range) {
      int last = -1;
      for (int index = 0; index < parts.size(); index++) {
        if (parts.get(index).endpoint().equals(candidate.endpoint())) {
          last = index;
        }
      }
      LayerRange merged = range;
      if (last >= 0) {
        merged = new LayerRange(range.fromLayer(), parts.get(last).layers().toLayerExclusive());
        parts.subList(0, last + 1).clear();
      }
      parts.add(0, new PathPart(candidate.endpoint(), candidate.address(), merged));
    }
  }
}
