package io.zinniawood.core.entry;

/** Reason why a connection to an agent ended. */
public enum DisconnectReason {
  /** The connection was closed or reset. */
  CLOSED,
  /** Probes were not acknowledged in time although the connection stayed open. */
  SILENT
}
