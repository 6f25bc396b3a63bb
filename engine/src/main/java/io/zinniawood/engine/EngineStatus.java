package io.zinniawood.engine;

import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.LoadReport;

/**
 * Status of a model engine.
 *
 * @param capability model and layers that the engine holds, and its capacity
 * @param load load as reported by the engine, which may lag behind the actual load
 */
public record EngineStatus(Capability.ModelStage capability, LoadReport load) {}
