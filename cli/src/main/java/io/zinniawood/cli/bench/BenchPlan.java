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
 * Cluster of the scenarios: three data centres with one replica of each of three layer ranges per
 * accelerator kind, four kinds whose speeds differ eightfold, and links whose delays differ a
 * hundredfold.
 */
final class BenchPlan {
  static final String KEY = "bench";
  static final int MAX_TOKENS = 32;
  static final int PROMPT_WORDS = 10;

  /** Tokens that the engine stand-in counts for a prompt of that many words. */
  static final int PROMPT_TOKENS = 24;

  static final int RANGE_LAYERS = 8;
  static final int RANGES = 3;

  /** Prompt tokens cost a tenth of generated ones on the stand-in's accelerators. */
  static final double PREFILL_COST = 0.1;

  private static final ModelParameters MODEL =
      new ModelParameters("assistant", "v1", RANGE_LAYERS * RANGES, 0);

  private static final List<Kind> KINDS =
      List.of(
          new Kind("large", 800, 0),
          new Kind("medium", 400, 0),
          new Kind("small", 200, 2),
          new Kind("tiny", 100, 20));

  private BenchPlan() {}

  /**
   * Accelerator kind.
   *
   * @param name name
   * @param tokensPerSecond decode throughput for one layer range
   * @param linkMillis added delay of the link in milliseconds, one way
   */
  private record Kind(String name, double tokensPerSecond, long linkMillis) {}

  static ClusterPlan plan() {
    List<EndpointPlan> endpoints = new ArrayList<>();
    for (int range = 0; range < RANGES; range++) {
      for (Kind kind : KINDS) {
        endpoints.add(engine(kind, range));
      }
    }
    return new ClusterPlan(List.of("helsinki-a"), endpoints, files(), 100);
  }

  private static EndpointPlan engine(Kind kind, int range) {
    int fromLayer = range * RANGE_LAYERS;
    EngineSettings base = EngineSettings.unlimited(MODEL, fromLayer, fromLayer + RANGE_LAYERS);
    double layerTokensPerSecond = kind.tokensPerSecond() * RANGE_LAYERS;
    EngineSettings settings =
        new EngineSettings(
            0,
            base.parameters(),
            base.fromLayer(),
            base.toLayerExclusive(),
            kind.name(),
            new EngineSpeed(layerTokensPerSecond, layerTokensPerSecond / PREFILL_COST, 0),
            base.limits(),
            new EngineSettings.Delays(200, 7, 500, 5),
            base.fencing(),
            base.platform());
    return new EndpointPlan.Engine(
        "%s-%d".formatted(kind.name(), range),
        "helsinki-a",
        "assistant-" + fromLayer,
        kind.linkMillis(),
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
            .formatted(DemoPlan.sha256Hex(KEY), MODEL.layers()));
  }

  /** Returns the maximum flow from the first to the last layer in generated tokens per second. */
  static double boundTokensPerSecond() {
    SimpleDirectedWeightedGraph<String, DefaultWeightedEdge> graph =
        new SimpleDirectedWeightedGraph<>(DefaultWeightedEdge.class);
    for (int range = 0; range <= RANGES; range++) {
      graph.addVertex("layer " + range);
    }
    for (int range = 0; range < RANGES; range++) {
      for (Kind kind : KINDS) {
        String in = kind.name() + range + " in";
        String out = kind.name() + range + " out";
        graph.addVertex(in);
        graph.addVertex(out);
        graph.setEdgeWeight(graph.addEdge("layer " + range, in), Double.MAX_VALUE / KINDS.size());
        graph.setEdgeWeight(graph.addEdge(in, out), kind.tokensPerSecond());
        graph.setEdgeWeight(
            graph.addEdge(out, "layer " + (range + 1)), Double.MAX_VALUE / KINDS.size());
      }
    }
    return new PushRelabelMFImpl<>(graph).calculateMaximumFlow("layer 0", "layer " + RANGES);
  }

  /** Returns the bound in requests per second, with the cost of the prompts. */
  static double boundRequestsPerSecond() {
    // The first token comes with the prompt, so it costs no step of its own.
    return boundTokensPerSecond() / (MAX_TOKENS - 1 + PROMPT_TOKENS * PREFILL_COST);
  }
}
