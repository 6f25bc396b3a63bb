package io.zinniawood.core.model;

import io.zinniawood.core.id.ModelId;

/** Order that changes the weights, adapters or role of a model engine. */
public sealed interface EngineOrder {
  /**
   * Loads a version of a model's weights for a layer range.
   *
   * @param version version of the weights
   * @param layers layers to hold
   */
  record LoadModel(ModelId model, String version, LayerRange layers) implements EngineOrder {}

  /**
   * Loads an adapter for the model that the engine holds.
   *
   * @param adapter name of the adapter
   */
  record LoadAdapter(ModelId model, String adapter) implements EngineOrder {}

  /**
   * Changes the role of the engine.
   *
   * @param role new role
   */
  record ChangeRole(EngineRole role) implements EngineOrder {}
}
