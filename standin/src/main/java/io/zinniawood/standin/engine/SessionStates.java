package io.zinniawood.standin.engine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** States of the sessions on the layers that the engine holds. */
final class SessionStates {
  private final int maxSessions;
  private final ExecutionLog executions = new ExecutionLog();
  private final Map<String, LayerStack> stacks = new LinkedHashMap<>();
  private ModelParameters parameters;
  private int fromLayer;
  private int toLayerExclusive;

  SessionStates(EngineSettings settings) {
    maxSessions = settings.limits().maxSessions();
    parameters = settings.parameters();
    fromLayer = settings.fromLayer();
    toLayerExclusive = settings.toLayerExclusive();
  }

  /** Exported KV cache. */
  record Export(int nextPosition, byte[] cache) {}

  /** What the engine holds. */
  record LoadedLayers(ModelParameters parameters, int fromLayer, int toLayerExclusive) {
    boolean includesFirstLayer() {
      return fromLayer == 0;
    }

    boolean includesLastLayer() {
      return toLayerExclusive == parameters.layers();
    }

    int layerCount() {
      return toLayerExclusive - fromLayer;
    }
  }

  synchronized LoadedLayers loadedLayers() {
    return new LoadedLayers(parameters, fromLayer, toLayerExclusive);
  }

  /** Replaces model and layers and drops all sessions. */
  synchronized void replaceLayers(ModelParameters newParameters, int newFrom, int newToExclusive) {
    stacks.keySet().forEach(executions::resetSession);
    stacks.clear();
    parameters = newParameters;
    fromLayer = newFrom;
    toLayerExclusive = newToExclusive;
  }

  /**
   * Runs a position; empty if the session has no state here and the position is not its first, or
   * if there are too many sessions. A repeated position runs again, as in an engine that trusts its
   * caller, and is counted.
   */
  synchronized Optional<Long> run(String session, int position, long value) {
    LayerStack stack = stacks.get(session);
    if (stack == null) {
      if (position != 0 || stacks.size() >= maxSessions) {
        return Optional.empty();
      }
      stack = new LayerStack(parameters, fromLayer, toLayerExclusive);
      stacks.put(session, stack);
    }
    executions.record(session, position, stack.nextPosition(), fromLayer, toLayerExclusive);
    return Optional.of(stack.run(position, value));
  }

  synchronized boolean close(String session) {
    executions.resetSession(session);
    return stacks.remove(session) != null;
  }

  synchronized Optional<Export> export(String session) {
    return Optional.ofNullable(stacks.get(session))
        .map(stack -> new Export(stack.nextPosition(), stack.export()));
  }

  /** Imports a state; throws {@link IllegalArgumentException} if it does not fit. */
  synchronized void restore(String session, int nextPosition, byte[] cache) {
    LayerStack stack = new LayerStack(parameters, fromLayer, toLayerExclusive);
    stack.restore(cache, nextPosition);
    if (!stacks.containsKey(session) && stacks.size() >= maxSessions) {
      throw new IllegalArgumentException("the engine has its most sessions: " + maxSessions);
    }
    executions.resetSession(session);
    stacks.put(session, stack);
  }

  synchronized int sessions() {
    return stacks.size();
  }

  synchronized ExecutionLog.Report report() {
    return executions.report();
  }
}
