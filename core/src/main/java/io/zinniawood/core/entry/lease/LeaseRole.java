package io.zinniawood.core.entry.lease;

/** Role of an entry with regard to the controller lease. */
public enum LeaseRole {
  /** Reads the lease and acquires it when it expires. */
  CANDIDATE,
  /** Does not read the lease, so that reads do not grow with the number of entries. */
  OBSERVER
}
