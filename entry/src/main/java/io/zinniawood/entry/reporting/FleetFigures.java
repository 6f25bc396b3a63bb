package io.zinniawood.entry.reporting;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.ClusterConfiguration;
import io.zinniawood.core.configuration.ModelDefinition;
import io.zinniawood.core.entry.EndpointOverview;
import io.zinniawood.core.entry.EntryOverview;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.report.page.FleetReport;
import java.util.function.Function;

/** Computes the figures of the fleet report from the state of an entry. */
final class FleetFigures {
  private FleetFigures() {}

  /**
   * Returns the figures of the fleet report.
   *
   * @param overview state of the entry
   * @param cluster configuration in force, none before the first one
   * @param controller holder of the controller lease, none if it is not known
   * @param lostAt returns when the endpoint with the given id was lost, in milliseconds since 1970
   */
  static FleetReport.Figures of(
      EntryOverview overview,
      Option<ClusterConfiguration> cluster,
      String writer,
      long nowEpochMillis,
      Option<String> controller,
      Function<String, Long> lostAt) {
    Vector<EndpointOverview> connected =
        overview
            .endpoints()
            .filter(found -> found.condition() != EndpointOverview.Condition.NOT_CONNECTED);
    return new FleetReport.Figures(
        nowEpochMillis,
        writer,
        connected.map(found -> endpoint(found, nowEpochMillis, lostAt)),
        cluster.map(present -> servingCounts(present, connected)).getOrElse(Vector.empty()),
        controller,
        overview.endpoints().size() - connected.size());
  }

  private static FleetReport.Endpoint endpoint(
      EndpointOverview found, long nowEpochMillis, Function<String, Long> lostAt) {
    FleetReport.EndpointState state = state(found.condition());
    // An open connection has answered a recent probe; otherwise it would have been closed.
    long lastHeardEpochMillis =
        state == FleetReport.EndpointState.LOST
            ? lostAt.apply(found.endpoint().value())
            : nowEpochMillis;
    return new FleetReport.Endpoint(
        found.endpoint().value(),
        found.dataCentre().value(),
        found.capability().map(FleetFigures::describe).getOrElse("not known"),
        state,
        found.inFlight(),
        found.limit(),
        lastHeardEpochMillis);
  }

  private static FleetReport.EndpointState state(EndpointOverview.Condition condition) {
    return switch (condition) {
      case LEAVING -> FleetReport.EndpointState.LEAVING;
      case LOST -> FleetReport.EndpointState.LOST;
      case NOT_CONNECTED, STARTING -> FleetReport.EndpointState.STARTING;
      case EJECTED -> FleetReport.EndpointState.EJECTED;
      case SERVING -> FleetReport.EndpointState.SERVING;
    };
  }

  private static String describe(Capability capability) {
    if (capability instanceof Capability.ModelStage stage) {
      return "%s %s".formatted(stage.model().value(), layers(stage.layers()));
    }
    return ((Capability.PlainService) capability).service().value();
  }

  private static String layers(LayerRange range) {
    return range.layers() == 1
        ? "layer %d".formatted(range.fromLayer())
        : "layers %d to %d".formatted(range.fromLayer(), range.toLayerExclusive() - 1);
  }

  private static Vector<FleetReport.ServingCount> servingCounts(
      ClusterConfiguration cluster, Vector<EndpointOverview> endpoints) {
    Vector<Capability> serving =
        endpoints
            .filter(found -> found.condition() == EndpointOverview.Condition.SERVING)
            .flatMap(EndpointOverview::capability);
    return cluster
        .models()
        .values()
        .toVector()
        .sortBy(model -> model.id().value())
        .flatMap(model -> servingCounts(model, serving))
        .appendAll(
            cluster
                .services()
                .keySet()
                .toVector()
                .sortBy(ServiceName::value)
                .map(name -> servingCount(name, serving)));
  }

  /** Groups consecutive layers of a model that the same number of endpoints serves. */
  private static Vector<FleetReport.ServingCount> servingCounts(
      ModelDefinition model, Vector<Capability> serving) {
    Vector<LayerRange> served =
        serving
            .filter(found -> found instanceof Capability.ModelStage)
            .map(found -> (Capability.ModelStage) found)
            .filter(stage -> stage.model().equals(model.id()))
            .map(Capability.ModelStage::layers);
    Vector<FleetReport.ServingCount> ranges = Vector.empty();
    int from = 0;
    for (int layer = 1; layer <= model.layers(); layer++) {
      if (layer == model.layers() || countServing(served, layer) != countServing(served, from)) {
        String name = "%s %s".formatted(model.id().value(), layers(new LayerRange(from, layer)));
        ranges =
            ranges.append(
                new FleetReport.ServingCount(
                    name, countServing(served, from), model.minReplicasPerLayer()));
        from = layer;
      }
    }
    return ranges;
  }

  private static int countServing(Vector<LayerRange> served, int layer) {
    return served.count(range -> range.fromLayer() <= layer && layer < range.toLayerExclusive());
  }

  private static FleetReport.ServingCount servingCount(
      ServiceName name, Vector<Capability> serving) {
    int count =
        serving.count(
            found ->
                found instanceof Capability.PlainService plain && plain.service().equals(name));
    return new FleetReport.ServingCount(name.value(), count, 1);
  }
}
