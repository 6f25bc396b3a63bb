package io.zinniawood.core.limit;

import io.zinniawood.core.id.EndpointIncarnation;
import io.zinniawood.core.id.VmId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Limit that one process start of an endpoint names, and the permits of this process under it. A
 * lower value counts at once; a higher one, or the end of the limit, counts gradually. Not
 * thread-safe.
 */
public final class EndpointLimit {
  /** Time in which the rate doubles towards a higher limit. */
  private static final double DOUBLING_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Time after the end of a limit from which on it has no effect. */
  private static final long RELEASE_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Time after a lack of permits in which this process still wants some; two messages. */
  private static final long OWN_WANT_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /** Time for which the want of another process counts; four messages. */
  private static final long TOLD_WANT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final EndpointIncarnation endpoint;
  private double requestsPerSecond;
  private double raisedFromPerSecond;
  private long changedNanos;
  private long evidenceNanos;
  private boolean ended;

  private final Permits permits;
  private LimitShares shares = LimitShares.NOTHING;
  private double share;
  private double shareRatePerSecond;
  private boolean wanted;
  private long wantedNanos;

  /** Times until which other processes want permits; the one that got none for longest is first. */
  private final Map<VmId, Long> othersWantUntilNanos = new LinkedHashMap<>();

  /** Permits that others are to get before this process uses the next one. */
  private int owedToOthers;

  /** Creates the limit of a process start of an endpoint, which counts at once. */
  EndpointLimit(
      EndpointIncarnation endpoint, double requestsPerSecond, long evidenceNanos, long nowNanos) {
    this.endpoint = endpoint;
    this.requestsPerSecond = requestsPerSecond;
    this.raisedFromPerSecond = requestsPerSecond;
    this.evidenceNanos = evidenceNanos;
    this.changedNanos = nowNanos;
    this.permits = new Permits(nowNanos);
  }

  /** Returns the process start of the endpoint. */
  public EndpointIncarnation endpoint() {
    return endpoint;
  }

  /** Returns the limit as the endpoint named it last, in requests a second. */
  public double requestsPerSecond() {
    return requestsPerSecond;
  }

  /** Returns whether the endpoint names no limit any more. */
  public boolean ended() {
    return ended;
  }

  /** Returns the monotonic time, in nanoseconds, of the newest answer that shows this state. */
  public long evidenceNanos() {
    return evidenceNanos;
  }

  /** Returns whether the limit has an effect. */
  public boolean bindingAt(long nowNanos) {
    return !ended || nowNanos - changedNanos < RELEASE_NANOS;
  }

  private double rateAt(long nowNanos) {
    double raised =
        Math.max(StatedLimit.MIN_REQUESTS_PER_SECOND, raisedFromPerSecond)
            * Math.pow(2, (nowNanos - changedNanos) / DOUBLING_NANOS);
    return ended
        ? raised
        : Math.min(Math.max(StatedLimit.MIN_REQUESTS_PER_SECOND, requestsPerSecond), raised);
  }

  /** Sets the limit; returns whether its value changed. */
  boolean name(double newPerSecond, long newEvidenceNanos, long nowNanos) {
    evidenceNanos = newEvidenceNanos;
    if (!ended && newPerSecond == requestsPerSecond) {
      return false;
    }
    raisedFromPerSecond = ended ? newPerSecond : Math.min(newPerSecond, rateAt(nowNanos));
    requestsPerSecond = newPerSecond;
    changedNanos = nowNanos;
    ended = false;
    return true;
  }

  /** Ends the limit. */
  void end(long newEvidenceNanos, long nowNanos) {
    raisedFromPerSecond = rateAt(nowNanos);
    changedNanos = nowNanos;
    evidenceNanos = newEvidenceNanos;
    ended = true;
  }

  /** Brings the permits up to date. */
  void refill(LimitShares newShares, long nowNanos) {
    double rate = rateAt(nowNanos);
    if (newShares != shares || rate != shareRatePerSecond) {
      shares = newShares;
      shareRatePerSecond = rate;
      share = newShares.shareOf(endpoint.endpoint(), rate);
    }
    permits.refill(rate * share, nowNanos);
  }

  /** Returns the rate of this process, in requests a second. */
  public double ownRatePerSecond() {
    return permits.ratePerSecond();
  }

  /** Returns whether this process may send a request now. */
  public boolean permitted() {
    return permits.available(owedToOthers);
  }

  /** Returns the time at which this process may send a request, as far as that is known. */
  public long permittedNanos(long nowNanos) {
    if (permitted()) {
      return nowNanos;
    }
    double seconds =
        permits.ratePerSecond() > 0
            ? permits.secondsUntilPermit() + owedToOthers / permits.ratePerSecond()
            : 1 / shareRatePerSecond;
    return nowNanos + (long) (seconds * NANOS_PER_SECOND);
  }

  /** Counts a request that is sent, also if it needs no permit. */
  public void requestSent(long nowNanos) {
    if (permits.use() && owedToOthers == 0) {
      owedToOthers = wantingOthers(nowNanos).size();
    }
  }

  /** Records that this process had a use for a permit that it lacked. */
  public void want(long nowNanos) {
    wanted = true;
    wantedNanos = nowNanos;
  }

  /** Returns whether this process lacked a permit recently. */
  boolean wantedAt(long nowNanos) {
    return wanted && nowNanos - wantedNanos < OWN_WANT_NANOS;
  }

  /** Records whether another process wants permits. */
  void othersWant(VmId other, boolean wants, long nowNanos) {
    if (wants) {
      othersWantUntilNanos.put(other, nowNanos + TOLD_WANT_NANOS);
    } else {
      othersWantUntilNanos.remove(other);
    }
  }

  private List<VmId> wantingOthers(long nowNanos) {
    othersWantUntilNanos.values().removeIf(untilNanos -> nowNanos - untilNanos >= 0);
    return new ArrayList<>(othersWantUntilNanos.keySet());
  }

  /**
   * Gives permits to other processes that want some: all of them while this process wants none, and
   * otherwise those that it left unused, but at least as many as each process gets in turn.
   *
   * @param maxReceivers maximum number of processes that receive permits, 1 or greater
   */
  List<PermitGift> gifts(int maxReceivers, long nowNanos) {
    int unused = permits.unused();
    List<VmId> wanting = wantingOthers(nowNanos);
    if (wanting.isEmpty()) {
      owedToOthers = 0;
      return List.of();
    }
    List<VmId> receivers = wanting.subList(0, Math.min(maxReceivers, wanting.size()));
    int most = wantedAt(nowNanos) ? Math.max(owedToOthers, unused) : Integer.MAX_VALUE;
    int given = permits.takeForOthers(most);
    owedToOthers = Math.max(0, owedToOthers - given);
    List<PermitGift> gifts = new ArrayList<>();
    for (int index = 0; index < Math.min(given, receivers.size()); index++) {
      VmId receiver = receivers.get(index);
      int count = (given - index + receivers.size() - 1) / receivers.size();
      gifts.add(new PermitGift(receiver, endpoint, count));
      othersWantUntilNanos.put(receiver, othersWantUntilNanos.remove(receiver));
    }
    return gifts;
  }

  /** Adds permits that another process gave. */
  void receive(int count, long nowNanos) {
    // All permits that are valid at a time were made within a second.
    permits.receive(count, (int) Math.ceil(shareRatePerSecond), nowNanos);
  }
}
