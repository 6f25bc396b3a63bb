package io.zinniawood.core.entry.routing;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.zinniawood.core.entry.routing.FlowPlan.Hop;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.model.LayerRange;
import java.util.LinkedHashMap;
import org.jgrapht.alg.flow.PushRelabelMFImpl;
import org.jgrapht.graph.DefaultWeightedEdge;
import org.jgrapht.graph.SimpleDirectedWeightedGraph;

/**
 * Computes the maximum flow of tokens through the endpoints, limited by their capacities and by the
 * links between data centres.
 *
 * <p>A vertex of the graph is a layer boundary in one data centre. Endpoints of one data centre
 * with equal ranges form one edge whose capacity is the sum of theirs, and a link is an edge
 * between two data centres at the same boundary. The flow of an edge is divided among its endpoints
 * in proportion to their capacities, so that equal endpoints get equal shares.
 */
public final class FlowPlanner {
  /** Flow at or below which a result counts as a rounding error. */
  private static final double MIN_FLOW_TOKENS_PER_SECOND = 1e-9;

  /** Relative difference up to which two maximum flows count as equal. */
  private static final double RELATIVE_FLOW_TOLERANCE = 1e-6;

  private final Vector<StageCapacity> stages;
  private final int layers;
  private final LinkCapacity links;
  private final double unboundedCapacity;
  private final SimpleDirectedWeightedGraph<Object, DefaultWeightedEdge> graph =
      new SimpleDirectedWeightedGraph<>(DefaultWeightedEdge.class);
  private final java.util.Map<Group, DefaultWeightedEdge> groupEdges = new LinkedHashMap<>();

  private FlowPlanner(Vector<StageCapacity> stages, int layers, LinkCapacity links) {
    this.stages = stages;
    this.layers = layers;
    this.links = links;
    this.unboundedCapacity = 1 + stages.map(StageCapacity::tokensPerSecond).sum().doubleValue();
  }

  /**
   * Returns a maximum flow, without links between data centres if that flow is as large.
   *
   * @param stages endpoints that hold layers of one model
   * @param layers number of layers of the model
   * @param links capacity of the links between data centres
   */
  public static FlowPlan plan(Vector<StageCapacity> stages, int layers, LinkCapacity links) {
    Vector<StageCapacity> usable =
        stages.filter(
            stage -> stage.tokensPerSecond() > 0 && stage.layers().toLayerExclusive() <= layers);
    if (usable.isEmpty()) {
      return FlowPlan.EMPTY;
    }
    FlowPlan withLinks = new FlowPlanner(usable, layers, links).solve();
    FlowPlan withoutLinks = new FlowPlanner(usable, layers, (from, to) -> 0).solve();
    return withoutLinks.tokensPerSecond()
            >= withLinks.tokensPerSecond() * (1 - RELATIVE_FLOW_TOLERANCE)
        ? withoutLinks
        : withLinks;
  }

  private FlowPlan solve() {
    graph.addVertex(Terminal.SOURCE);
    graph.addVertex(Terminal.SINK);
    var groups = stages.groupBy(stage -> new Group(stage.dataCentre(), stage.layers()));
    for (Group group : groups.keySet().toVector().sortBy(Group::sortKey)) {
      addGroup(group, groups.get(group).get());
    }
    addLinks();
    var flow = new PushRelabelMFImpl<>(graph).getMaximumFlow(Terminal.SOURCE, Terminal.SINK);
    Map<EndpointId, Double> endpointFlows = HashMap.empty();
    for (var entry : groupEdges.entrySet()) {
      Vector<StageCapacity> members = groups.get(entry.getKey()).get();
      double groupCapacity = members.map(StageCapacity::tokensPerSecond).sum().doubleValue();
      double edgeFlow = flow.getFlowMap().getOrDefault(entry.getValue(), 0.0);
      for (StageCapacity member : members) {
        double endpointFlow = edgeFlow * member.tokensPerSecond() / groupCapacity;
        if (endpointFlow > MIN_FLOW_TOKENS_PER_SECOND) {
          endpointFlows = endpointFlows.put(member.endpoint(), endpointFlow);
        }
      }
    }
    return new FlowPlan(flow.getValue(), endpointFlows, hopFractions(flow.getFlowMap()));
  }

  private Map<Hop, Double> hopFractions(java.util.Map<DefaultWeightedEdge, Double> flow) {
    Map<Hop, Double> fractions = HashMap.empty();
    for (Object vertex : graph.vertexSet()) {
      if (!(vertex instanceof Boundary to) || to.layer() == 0) {
        continue;
      }
      double inflow = 0;
      for (DefaultWeightedEdge edge : graph.incomingEdgesOf(to)) {
        inflow += flow.getOrDefault(edge, 0.0);
      }
      for (DefaultWeightedEdge edge : graph.incomingEdgesOf(to)) {
        double edgeFlow = flow.getOrDefault(edge, 0.0);
        if (edgeFlow > MIN_FLOW_TOKENS_PER_SECOND
            && graph.getEdgeSource(edge) instanceof Boundary from) {
          Hop hop = new Hop(to.layer(), from.dataCentre(), to.dataCentre());
          fractions = fractions.put(hop, fractions.getOrElse(hop, 0.0) + edgeFlow / inflow);
        }
      }
    }
    return fractions;
  }

  private void addGroup(Group group, Vector<StageCapacity> members) {
    Boundary from = boundary(group.layers().fromLayer(), group.dataCentre());
    Boundary to = boundary(group.layers().toLayerExclusive(), group.dataCentre());
    DefaultWeightedEdge edge = graph.addEdge(from, to);
    graph.setEdgeWeight(edge, members.map(StageCapacity::tokensPerSecond).sum().doubleValue());
    groupEdges.put(group, edge);
  }

  private Boundary boundary(int layer, DataCentreId dataCentre) {
    Boundary boundary = new Boundary(layer, dataCentre);
    if (graph.addVertex(boundary)) {
      if (layer == 0) {
        graph.setEdgeWeight(graph.addEdge(Terminal.SOURCE, boundary), unboundedCapacity);
      }
      if (layer == layers) {
        graph.setEdgeWeight(graph.addEdge(boundary, Terminal.SINK), unboundedCapacity);
      }
    }
    return boundary;
  }

  private void addLinks() {
    Vector<Boundary> innerBoundaries =
        Vector.ofAll(graph.vertexSet())
            .filter(Boundary.class::isInstance)
            .map(Boundary.class::cast)
            .filter(boundary -> boundary.layer() > 0 && boundary.layer() < layers);
    for (Boundary from : innerBoundaries) {
      for (Boundary to : innerBoundaries) {
        if (from.layer() != to.layer() || from.equals(to)) {
          continue;
        }
        double capacity = links.tokensPerSecond(from.dataCentre(), to.dataCentre());
        if (capacity > 0) {
          graph.setEdgeWeight(graph.addEdge(from, to), Math.min(unboundedCapacity, capacity));
        }
      }
    }
  }

  private enum Terminal {
    SOURCE,
    SINK
  }

  private record Boundary(int layer, DataCentreId dataCentre) {}

  private record Group(DataCentreId dataCentre, LayerRange layers) {
    String sortKey() {
      return "%06d-%06d-%s"
          .formatted(layers.fromLayer(), layers.toLayerExclusive(), dataCentre.value());
    }
  }
}
