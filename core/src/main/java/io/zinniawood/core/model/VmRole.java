package io.zinniawood.core.model;

/** Role of a VM. */
public enum VmRole {
  /** Runs an entry process. */
  ENTRY,
  /** Runs an endpoint and its agent. */
  ENDPOINT
}
