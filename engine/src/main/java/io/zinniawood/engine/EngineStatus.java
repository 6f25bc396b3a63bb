package io.zinniawood.engine;

import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.LoadReport;

/**
 * Status of an engine.
 *
 * @param capability what the engine holds
 * @param load load, which lags behind
 */
public record EngineStatus(Capability.ModelStage capability, LoadReport load) {}
