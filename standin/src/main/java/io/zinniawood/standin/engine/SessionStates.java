package io.zinniawood.standin.engine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** States of the sessions on the layers that the engine has loaded. */
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

  /** Exported KV cache with the position that follows it. */
  record Export(int nextPosition, byte[] cache) {}

  /** Model and layer range that the engine has loaded. */
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

  /** Replaces the model and the layer range, and drops the states of all sessions. */
  synchronized void replaceLayers(ModelParameters newParameters, int newFrom, int newToExclusive) {
    stacks.keySet().forEach(executions::resetSession);
    stacks.clear();
    parameters = newParameters;
    fromLayer = newFrom;
    toLayerExclusive = newToExclusive;
  }

  /**
   * Runs a position of a session and returns the activation; empty if the session has no state here
   * and the position is not 0, or if the limit of sessions is reached. A repeated position runs
   * again and is counted, as in an engine that does not check positions.
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

  /**
   * Imports the state of a session.
   *
   * @throws IllegalArgumentException if the model or the layer range differs, or if the limit of
   *     sessions is reached
   */
  synchronized void restore(String session, int nextPosition, byte[] cache) {
    LayerStack stack = new LayerStack(parameters, fromLayer, toLayerExclusive);
    stack.restore(cache, nextPosition);
    if (!stacks.containsKey(session) && stacks.size() >= maxSessions) {
      throw new IllegalArgumentException(
          "the engine has reached its limit of " + maxSessions + " sessions");
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
