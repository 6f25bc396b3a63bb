package io.zinniawood.cli.bench;

import io.zinniawood.cli.local.ClusterPlan;
import io.zinniawood.cli.local.DemoPlan;
import io.zinniawood.cli.local.EndpointPlan;
import io.zinniawood.standin.engine.EngineSettings;
import io.zinniawood.standin.engine.EngineSpeed;
import io.zinniawood.standin.engine.ModelParameters;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jgrapht.alg.flow.PushRelabelMFImpl;
import org.jgrapht.graph.DefaultWeightedEdge;
import org.jgrapht.graph.SimpleDirectedWeightedGraph;

/**
 * Cluster of the scenarios: one data centre with three layer ranges, each with one replica on each
 * of four accelerator kinds. The throughput of the kinds ranges from 100 to 800 tokens per second
 * and their one-way link delay from 0 to 20 ms.
 */
final class BenchPlan {
  static final String API_KEY = "bench";
  static final int MAX_TOKENS = 32;
  static final int PROMPT_WORDS = 10;

  /** Tokens that the engine stand-in counts for a prompt of {@link #PROMPT_WORDS} words. */
  static final int PROMPT_TOKENS = 24;

  static final int LAYERS_PER_RANGE = 8;
  static final int LAYER_RANGES = 3;

  /** Time of a prompt token as a share of that of a generated token, on the engine stand-in. */
  static final double PREFILL_COST_RATIO = 0.1;

  private static final ModelParameters MODEL =
      new ModelParameters("assistant", "v1", LAYERS_PER_RANGE * LAYER_RANGES, 0);

  private static final List<Accelerator> ACCELERATORS =
      List.of(
          new Accelerator("large", 800, 0),
          new Accelerator("medium", 400, 0),
          new Accelerator("small", 200, 2),
          new Accelerator("tiny", 100, 20));

  private BenchPlan() {}

  /**
   * Accelerator kind with its link.
   *
   * @param name name of the kind
   * @param tokensPerSecond decode throughput for one layer range
   * @param linkMillis added delay of the link in milliseconds, one way
   */
  private record Accelerator(String name, double tokensPerSecond, long linkMillis) {}

  static ClusterPlan plan() {
    List<EndpointPlan> endpoints = new ArrayList<>();
    for (int range = 0; range < LAYER_RANGES; range++) {
      for (Accelerator accelerator : ACCELERATORS) {
        endpoints.add(engine(accelerator, range));
      }
    }
    return new ClusterPlan(List.of("helsinki-a"), endpoints, files(), 100);
  }

  private static EndpointPlan engine(Accelerator accelerator, int range) {
    int fromLayer = range * LAYERS_PER_RANGE;
    EngineSettings base = EngineSettings.unlimited(MODEL, fromLayer, fromLayer + LAYERS_PER_RANGE);
    double layerTokensPerSecond = accelerator.tokensPerSecond() * LAYERS_PER_RANGE;
    EngineSettings settings =
        new EngineSettings(
            0,
            base.parameters(),
            base.fromLayer(),
            base.toLayerExclusive(),
            accelerator.name(),
            new EngineSpeed(layerTokensPerSecond, layerTokensPerSecond / PREFILL_COST_RATIO, 0),
            base.limits(),
            new EngineSettings.Delays(200, 7, 500, 5),
            base.fencing(),
            base.platform());
    return new EndpointPlan.Engine(
        "%s-%d".formatted(accelerator.name(), range),
        "helsinki-a",
        "assistant-" + fromLayer,
        accelerator.linkMillis(),
        settings);
  }

  private static Map<String, String> files() {
    return Map.of(
        "10-bench.toml",
        """
        [client_accounts.bench]
        key_sha256 = ["%s"]
        requests_per_second = 100000
        burst_requests = 100000
        max_concurrent = 100000

        [models.assistant]
        layers = %d
        min_replicas_per_layer = 1
        max_tokens = 256

        [objectives.assistant]
        target = "assistant"
        answered_share = 0.999
        first_token_ms = 1300
        token_gap_ms = 73
        latency_share = 0.95
        """
            .formatted(DemoPlan.sha256Hex(API_KEY), MODEL.layers()));
  }

  /**
   * Returns the maximum flow from the first to the last layer, in generated tokens per second. Each
   * replica is an edge with its throughput as capacity.
   */
  static double boundTokensPerSecond() {
    SimpleDirectedWeightedGraph<String, DefaultWeightedEdge> graph =
        new SimpleDirectedWeightedGraph<>(DefaultWeightedEdge.class);
    for (int range = 0; range <= LAYER_RANGES; range++) {
      graph.addVertex("layer " + range);
    }
    for (int range = 0; range < LAYER_RANGES; range++) {
      for (Accelerator accelerator : ACCELERATORS) {
        String in = accelerator.name() + range + " in";
        String out = accelerator.name() + range + " out";
        graph.addVertex(in);
        graph.addVertex(out);
        graph.setEdgeWeight(
            graph.addEdge("layer " + range, in), Double.MAX_VALUE / ACCELERATORS.size());
        graph.setEdgeWeight(graph.addEdge(in, out), accelerator.tokensPerSecond());
        graph.setEdgeWeight(
            graph.addEdge(out, "layer " + (range + 1)), Double.MAX_VALUE / ACCELERATORS.size());
      }
    }
    return new PushRelabelMFImpl<>(graph).calculateMaximumFlow("layer 0", "layer " + LAYER_RANGES);
  }

  /** Returns the maximum-flow bound in requests per second, including the cost of prompts. */
  static double boundRequestsPerSecond() {
    // Prefill yields the first token, so only MAX_TOKENS - 1 decode steps follow.
    return boundTokensPerSecond() / (MAX_TOKENS - 1 + PROMPT_TOKENS * PREFILL_COST_RATIO);
  }
}
