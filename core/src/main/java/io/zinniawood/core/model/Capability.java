package io.zinniawood.core.model;

import io.zinniawood.core.id.AcceleratorKind;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.id.ServiceName;

/** What an endpoint serves. */
public sealed interface Capability {
  /**
   * A range of layers of a model.
   *
   * @param layers the layers that the engine holds
   * @param accelerator kind of accelerator
   * @param tokensPerSecond nominal decode throughput of this range, summed over all sessions
   * @param maxSessions maximum number of concurrent sessions
   */
  record ModelStage(
      ModelId model,
      LayerRange layers,
      AcceleratorKind accelerator,
      double tokensPerSecond,
      int maxSessions)
      implements Capability {}

  /**
   * A plain service.
   *
   * @param maxConcurrent maximum number of concurrent calls
   */
  record PlainService(ServiceName service, int maxConcurrent) implements Capability {}
}
