package io.zinniawood.core.relay;

/** Why a read of the store gave no rows. */
public enum StoreReadFailure {
  /** The store did not answer, or refused. */
  UNAVAILABLE,
  /** The store no longer has the changes after the given version, or began another era. */
  HISTORY_GONE
}
