package io.zinniawood.core.model;

/** State that an agent announces for its endpoint. */
public enum ServingState {
  /** The endpoint is not ready yet. */
  STARTING,
  /** The endpoint accepts new work. */
  SERVING,
  /** The endpoint finishes its work and accepts no new work. */
  LEAVING
}
