package io.zinniawood.relay;

/** Why a control call has no response. */
public enum ControlFailure {
  /** No connection was opened, so the call was certainly not carried out. */
  NOT_SENT,
  /** The call was sent and may have been carried out. */
  OUTCOME_UNKNOWN
}
