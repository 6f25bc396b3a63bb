package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.route.EngineProfile;
import java.util.Optional;

/** Memory of endpoints for the tokens of requests. */
final class TokenCapacity {
  private TokenCapacity() {}

  /**
   * Returns the number of tokens that fit in the memory of an endpoint beside its layers; 0 if it
   * holds none or its accelerator is unknown.
   */
  static double of(EngineProfile engine, TrackedEndpoint endpoint) {
    Optional<LayerRange> held = endpoint.entry().layers();
    return endpoint
        .entry()
        .accelerator()
        .flatMap(engine::accelerator)
        .filter(profile -> held.isPresent())
        .map(profile -> engine.tokenCapacity(profile, held.get().layers()))
        .orElse(0.0);
  }
}
