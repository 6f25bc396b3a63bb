package io.zinniawood.core.model;

/** Role of a model engine. */
public enum EngineRole {
  /** Runs prompts and generates tokens. */
  MIXED,
  /** Runs prompts only. */
  PREFILL,
  /** Generates tokens only. */
  DECODE
}
