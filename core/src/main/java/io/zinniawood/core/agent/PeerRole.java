package io.zinniawood.core.agent;

/** Role of a connected process. */
public enum PeerRole {
  /** An entry. */
  ENTRY,
  /** Another agent. */
  AGENT
}
