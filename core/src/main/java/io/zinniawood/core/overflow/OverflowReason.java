package io.zinniawood.core.overflow;

import java.util.Locale;

/** Why the shares are as they are. The names appear in the decision log. */
public enum OverflowReason {
  /** The wait in the own data centre is short and it has room. */
  ROOM_AT_HOME,
  /** The wait is neither long nor short, or short with little room; the shares stay. */
  SHARE_HELD,
  /** The wait in the own data centre is long and other data centres have room. */
  WAIT_AT_HOME,
  /** The endpoints of the own data centre offer no path. */
  NO_PATH_AT_HOME,
  /** No other data centre has room for guests. */
  NO_ROOM_ELSEWHERE,
  /** The figures of all other data centres are too old. */
  FIGURES_TOO_OLD;

  /** Returns the name in the decision log. */
  public String text() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
