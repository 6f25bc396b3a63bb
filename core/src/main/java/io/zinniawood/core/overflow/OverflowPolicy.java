package io.zinniawood.core.overflow;

import io.zinniawood.core.id.DataCentreId;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Decides what share of a service's new requests may leave the own data centre.
 *
 * <p>Designed for three data centres whose links carry about 26 prompts a second and whose demand
 * oscillates by half with a period of 17 s.
 */
public final class OverflowPolicy {
  /** Limits the change of a share, so that relays which decide alike do not move at once. */
  static final double MAX_SHARE_CHANGE_PER_SECOND = 0.25;

  /** Share of the target latency that a wait may take before requests leave. */
  private static final double RISE_WAIT_PER_TARGET = 0.25;

  /** Share of the target latency below which requests return. */
  private static final double FALL_WAIT_PER_TARGET = 0.1;

  /**
   * Share of the own capacity that must be free before requests return. A queue that is empty for a
   * moment does not end a shortage: in a simulation with demand doubled, shares that fell at every
   * empty queue swung between 0.10 and 0.48. The most urgent routes have this tenth as reserve.
   */
  private static final double RETURN_ROOM_SHARE = 0.1;

  /** Longest time between two decisions that counts, as figures are missing for longer pauses. */
  private static final double MAX_STEP_SECONDS = 1;

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private Map<DataCentreId, Double> shares = new TreeMap<>();
  private double totalShare;
  private boolean decided;
  private long decidedNanos;

  /** Returns the decision for the present state and remembers it for the next one. */
  public OverflowDecision update(OverflowInputs inputs, long nowNanos) {
    double seconds =
        decided ? Math.min(MAX_STEP_SECONDS, (nowNanos - decidedNanos) / NANOS_PER_SECOND) : 0;
    decided = true;
    decidedNanos = nowNanos;
    double maxChange = MAX_SHARE_CHANGE_PER_SECOND * seconds;
    Map<DataCentreId, Double> rooms = guestRooms(inputs);
    OverflowReason reason = reason(inputs, rooms);
    if (reason == OverflowReason.NO_PATH_AT_HOME) {
      totalShare = 1;
      shares = desiredShares(rooms);
    } else {
      totalShare =
          switch (reason) {
            case WAIT_AT_HOME -> Math.min(1, totalShare + maxChange);
            case ROOM_AT_HOME -> Math.max(0, totalShare - maxChange);
            case SHARE_HELD -> totalShare;
            case NO_PATH_AT_HOME, NO_ROOM_ELSEWHERE, FIGURES_TOO_OLD -> 0;
          };
      shares = movedShares(desiredShares(rooms), maxChange);
    }
    return new OverflowDecision(shares, crossings(inputs, rooms), reason);
  }

  /** Returns the room for guests of each data centre that has any for another request. */
  private static Map<DataCentreId, Double> guestRooms(OverflowInputs inputs) {
    Map<DataCentreId, Double> rooms = new TreeMap<>();
    for (RemoteDataCentre other : inputs.others()) {
      double tokens = other.room().guestRoomTokens();
      if (tokens > 0 && tokens >= inputs.requestTokens()) {
        rooms.put(other.room().dataCentre(), tokens);
      }
    }
    return rooms;
  }

  private static OverflowReason reason(OverflowInputs inputs, Map<DataCentreId, Double> rooms) {
    if (rooms.isEmpty()) {
      List<RemoteDataCentre> others = inputs.others();
      boolean allOld =
          !others.isEmpty() && others.stream().noneMatch(other -> other.room().current());
      return allOld ? OverflowReason.FIGURES_TOO_OLD : OverflowReason.NO_ROOM_ELSEWHERE;
    }
    if (inputs.home().capacityTokens() <= 0) {
      return OverflowReason.NO_PATH_AT_HOME;
    }
    double riseMillis =
        Math.max(RISE_WAIT_PER_TARGET * inputs.targetLatencyMillis(), inputs.leavingCostMillis());
    double fallMillis = riseMillis * FALL_WAIT_PER_TARGET / RISE_WAIT_PER_TARGET;
    if (inputs.waitMillis() > riseMillis) {
      return OverflowReason.WAIT_AT_HOME;
    }
    boolean roomAtHome =
        inputs.home().freeTokens() >= RETURN_ROOM_SHARE * inputs.home().capacityTokens();
    return inputs.waitMillis() < fallMillis && roomAtHome && !inputs.homeFull()
        ? OverflowReason.ROOM_AT_HOME
        : OverflowReason.SHARE_HELD;
  }

  private Map<DataCentreId, Double> desiredShares(Map<DataCentreId, Double> rooms) {
    double sum = rooms.values().stream().mapToDouble(Double::doubleValue).sum();
    Map<DataCentreId, Double> desired = new TreeMap<>();
    rooms.forEach((centre, tokens) -> desired.put(centre, totalShare * tokens / sum));
    return desired;
  }

  /**
   * Returns the shares after a step towards the desired ones. A share without room ends at once.
   * All falls and all rises together are bounded like one share; the sum never exceeds 1.
   */
  private Map<DataCentreId, Double> movedShares(
      Map<DataCentreId, Double> desired, double maxChange) {
    double falls = 0;
    double sumBefore = 0;
    for (Map.Entry<DataCentreId, Double> entry : desired.entrySet()) {
      double before = shares.getOrDefault(entry.getKey(), 0.0);
      falls += Math.max(0, before - entry.getValue());
      sumBefore += before;
    }
    double fallFactor = falls > maxChange ? maxChange / falls : 1;
    double maxRises = Math.min(maxChange, 1 - sumBefore) + fallFactor * falls;
    Map<DataCentreId, Double> moved = new TreeMap<>();
    for (Map.Entry<DataCentreId, Double> entry : desired.entrySet()) {
      double before = shares.getOrDefault(entry.getKey(), 0.0);
      double change = entry.getValue() - before;
      if (change <= 0) {
        moved.put(entry.getKey(), before + fallFactor * change);
      } else {
        double rise = Math.max(0, Math.min(Math.min(change, maxChange), maxRises));
        moved.put(entry.getKey(), before + rise);
        maxRises -= rise;
      }
    }
    return moved;
  }

  /**
   * Returns the data centres with which paths may be shared. A whole path elsewhere sends a
   * thousandth of the bytes, so paths cross only if there is no room for whole ones.
   */
  private static Set<DataCentreId> crossings(
      OverflowInputs inputs, Map<DataCentreId, Double> rooms) {
    Set<DataCentreId> allowed = new HashSet<>();
    if (!inputs.homeFull() || !rooms.isEmpty()) {
      return allowed;
    }
    for (RemoteDataCentre other : inputs.others()) {
      boolean room = other.room().current() && other.joinedRoomTokens() >= inputs.requestTokens();
      if (room && other.link().usable()) {
        allowed.add(other.room().dataCentre());
      }
    }
    return allowed;
  }
}
