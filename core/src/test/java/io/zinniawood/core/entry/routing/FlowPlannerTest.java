package io.zinniawood.core.entry.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;

import io.vavr.collection.Vector;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.model.LayerRange;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class FlowPlannerTest {
  private static final int LAYERS = 3;
  private static final List<DataCentreId> DATA_CENTRES =
      List.of(new DataCentreId("x"), new DataCentreId("y"));

  // Guards against a plan whose flow is not maximal or not feasible: by the max-flow min-cut
  // theorem the flow equals the smallest cut, which is found here by trying all cuts of a small
  // graph.
  @Property(tries = 300, seed = "20261204")
  void flowEqualsTheSmallestCut(
      @ForAll @Size(max = 8) List<@IntRange(max = 5_999) Integer> codes,
      @ForAll @IntRange(max = 30) int link) {
    Vector<StageCapacity> stages = Vector.ofAll(codes).zipWithIndex((code, i) -> stage(code, i));
    FlowPlan plan = FlowPlanner.plan(stages, LAYERS, (from, to) -> link);
    assertThat(plan.tokensPerSecond(), closeTo(smallestCut(stages, link), 1e-6));
    for (StageCapacity stage : stages) {
      assertThat(
          plan.endpointFlow(stage.endpoint()) <= stage.tokensPerSecond() + 1e-6, equalTo(true));
    }
  }

  private static StageCapacity stage(int code, int index) {
    int from = code % LAYERS;
    int to = from + 1 + code / 3 % (LAYERS - from);
    return new StageCapacity(
        new EndpointId("e" + index),
        DATA_CENTRES.get(code / 30 % 2),
        new LayerRange(from, to),
        1 + code / 60 % 50);
  }

  /**
   * Vertices are (boundary, data centre); boundary 0 belongs to the source, the last to the sink.
   */
  private static double smallestCut(Vector<StageCapacity> stages, int link) {
    double smallest = Double.POSITIVE_INFINITY;
    int innerVertices = 2 * (LAYERS - 1);
    for (int cut = 0; cut < 1 << innerVertices; cut++) {
      double capacity = 0;
      for (StageCapacity stage : stages) {
        int centre = DATA_CENTRES.indexOf(stage.dataCentre());
        if (sourceSide(cut, stage.layers().fromLayer(), centre)
            && !sourceSide(cut, stage.layers().toLayerExclusive(), centre)) {
          capacity += stage.tokensPerSecond();
        }
      }
      for (int layer = 1; layer < LAYERS; layer++) {
        boolean differs = sourceSide(cut, layer, 0) != sourceSide(cut, layer, 1);
        capacity += differs ? link : 0;
      }
      smallest = Math.min(smallest, capacity);
    }
    return smallest;
  }

  private static boolean sourceSide(int cut, int layer, int centre) {
    if (layer == 0 || layer == LAYERS) {
      return layer == 0;
    }
    return (cut >> (2 * (layer - 1) + centre) & 1) == 1;
  }

  // Guards against unequal work for equal endpoints, which a maximum flow alone would allow.
  @Example
  void equalEndpointsShareTheBottleneckFlowEqually() {
    Vector<StageCapacity> stages =
        Vector.range(0, 4)
            .map(
                i ->
                    new StageCapacity(
                        new EndpointId("wide" + i), DATA_CENTRES.get(0), new LayerRange(0, 2), 100))
            .append(
                new StageCapacity(
                    new EndpointId("narrow"), DATA_CENTRES.get(0), new LayerRange(2, 3), 120));
    FlowPlan plan = FlowPlanner.plan(stages, LAYERS, LinkCapacity.UNLIMITED);
    assertThat(plan.tokensPerSecond(), closeTo(120, 1e-9));
    for (int i = 0; i < 4; i++) {
      assertThat(plan.endpointFlow(new EndpointId("wide" + i)), closeTo(30, 1e-9));
    }
  }
}
