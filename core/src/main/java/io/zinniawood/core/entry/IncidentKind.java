package io.zinniawood.core.entry;

/** Kind of an incident. */
public enum IncidentKind {
  /** An endpoint stopped answering. */
  ENDPOINT_LOST,
  /** An endpoint came back. */
  ENDPOINT_BACK,
  /** A connection went silent and was replaced. */
  CONNECTION_SILENT,
  /** A stage of a session was replaced. */
  STAGE_REPLACED,
  /** A request ended with an unknown outcome. */
  OUTCOME_UNKNOWN,
  /** The controller lease changed hands. */
  LEASE_TAKEN,
  /** A layer range has fewer replicas than configured. */
  RANGE_UNDERSERVED,
  /** An engine order was given. */
  ORDER_GIVEN,
  /** A configuration was accepted. */
  CONFIGURATION_ACCEPTED,
  /** A configuration was rejected. */
  CONFIGURATION_REJECTED,
  /** The platform's store became unavailable or available. */
  STORE_STATE,
  /** A client account reached its limit. */
  ACCOUNT_LIMITED
}
