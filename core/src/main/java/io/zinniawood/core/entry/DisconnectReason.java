package io.zinniawood.core.entry;

/** Reason why a connection to an agent ended. */
public enum DisconnectReason {
  /** The connection was closed or reset. */
  CLOSED,
  /** Acknowledged probes timed out while the connection stayed open. */
  SILENT
}
