package io.zinniawood.cli.local;

import io.zinniawood.standin.engine.EngineSettings;
import io.zinniawood.standin.engine.EngineSpeed;
import io.zinniawood.standin.engine.ModelParameters;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

/**
 * Cluster of the demonstration: three data centres, each with one replica of a model split over
 * four accelerator kinds and with two plain services, and two client accounts.
 */
public final class DemoPlan {
  /** API key of the client account {@code kiosk}. */
  public static final String KIOSK_KEY = "demo-kiosk";

  /** API key of the client account {@code dispatch}. */
  public static final String DISPATCH_KEY = "demo-dispatch";

  /** Model of the demonstration. */
  public static final ModelParameters MODEL = new ModelParameters("assistant", "v1", 24, 0);

  private static final List<String> DATA_CENTRES = List.of("helsinki-a", "helsinki-b", "tampere");

  private DemoPlan() {}

  /** Returns the plan of the cluster. */
  public static ClusterPlan plan() {
    List<EndpointPlan> endpoints = new ArrayList<>();
    for (String dataCentre : DATA_CENTRES) {
      endpoints.add(engine(dataCentre, 1, "large", 0, 12));
      endpoints.add(engine(dataCentre, 2, "medium", 12, 18));
      endpoints.add(engine(dataCentre, 3, "small", 18, 22));
      endpoints.add(engine(dataCentre, 4, "tiny", 22, 24));
      endpoints.add(
          new EndpointPlan.Service(
              dataCentre + "-credit", dataCentre, "credit", 0, "credit", 5, 16));
      endpoints.add(
          new EndpointPlan.Service(
              dataCentre + "-refill", dataCentre, "refill", 0, "refill", 5, 16));
    }
    return new ClusterPlan(DATA_CENTRES, endpoints, files(), 200);
  }

  private static EndpointPlan engine(
      String dataCentre, int number, String accelerator, int fromLayer, int toLayerExclusive) {
    EngineSettings base = EngineSettings.unlimited(MODEL, fromLayer, toLayerExclusive);
    EngineSettings settings =
        new EngineSettings(
            0,
            base.parameters(),
            fromLayer,
            toLayerExclusive,
            accelerator,
            EngineSpeed.ofKind(accelerator),
            base.limits(),
            new EngineSettings.Delays(200, 7, 500, 20),
            base.fencing(),
            base.platform());
    return new EndpointPlan.Engine(
        "%s-%02d".formatted(dataCentre, number),
        dataCentre,
        "assistant-%d".formatted(fromLayer),
        0,
        settings);
  }

  private static Map<String, String> files() {
    return Map.of(
        "10-accounts.toml",
        """
        [client_accounts.kiosk]
        key_sha256 = ["%s"]
        requests_per_second = 200
        burst_requests = 200
        max_concurrent = 400
        weight = 4
        priority = "interactive"

        [client_accounts.dispatch]
        key_sha256 = ["%s"]
        requests_per_second = 100
        burst_requests = 100
        max_concurrent = 200
        """
            .formatted(sha256Hex(KIOSK_KEY), sha256Hex(DISPATCH_KEY)),
        "20-models.toml",
        """
        [models.assistant]
        layers = 24
        min_replicas_per_layer = 2
        max_tokens = 256
        default_deadline_ms = 30000
        weights_version = "v1"
        """,
        "30-services.toml",
        """
        [services.credit]
        idempotent_methods = ["GET", "HEAD"]

        [services.refill]
        idempotent_methods = ["GET", "HEAD"]
        """,
        "40-objectives.toml",
        """
        [objectives.kiosk-assistant]
        target = "assistant"
        answered_share = 0.995
        first_token_ms = 1300
        token_gap_ms = 73
        latency_share = 0.95

        [objectives.coin-credit]
        target = "credit"
        answered_share = 0.999
        """);
  }

  /**
   * Returns the SHA-256 digest of an API key in lower-case hexadecimal, as in {@code key_sha256}.
   */
  public static String sha256Hex(String key) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(digest);
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException(
          "the JDK has no SHA-256, which every Java platform must support", impossible);
    }
  }
}
