package io.zinniawood.core.entry;

/** Kind of an incident. */
public enum IncidentKind {
  /** An endpoint cannot be reached or failed repeatedly. */
  ENDPOINT_LOST,
  /** An endpoint was connected again after failures. */
  ENDPOINT_BACK,
  /** Probes on a connection were not acknowledged and the connection was replaced. */
  CONNECTION_SILENT,
  /** A stage of a session was replaced. */
  STAGE_REPLACED,
  /** A request ended with an unknown outcome. */
  OUTCOME_UNKNOWN,
  /** This entry acquired or lost the controller lease. */
  LEASE_TAKEN,
  /** A layer range has fewer replicas than configured, or its repair is not possible. */
  RANGE_UNDERSERVED,
  /** An endpoint was ordered to load layers. */
  ORDER_GIVEN,
  /** A configuration was accepted. */
  CONFIGURATION_ACCEPTED,
  /** A configuration was rejected. */
  CONFIGURATION_REJECTED,
  /** The platform's store became unavailable or available. */
  STORE_STATE,
  /** A client account reached its limit. */
  ACCOUNT_LIMITED,
  /** A decision of the entry failed with an exception; the request concerned was ended. */
  DECISION_FAILED
}
