package io.zinniawood.relay;

/** Why a control call has no answer. */
public enum ControlFailure {
  /** The call never left this process. */
  NOT_SENT,
  /** The call may have been carried out. */
  OUTCOME_UNKNOWN
}
