package io.zinniawood.core.load;

import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.id.VmId;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Estimates the load that all relays together bring to each endpoint, from this relay's own
 * requests and from the notices of the others. A relay without valid figures is assumed to load
 * each endpoint as this one does.
 *
 * <p>Designed for 64 relays with four notices a second each and 1,400 endpoints: sums are kept
 * while notices are received, so that the load of an endpoint takes constant time.
 */
public final class FleetLoad {
  /** Time for which figures are valid; as long as a relay counts as present without a message. */
  static final long VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final Map<VmId, RelayFigures> figuresByRelay = new HashMap<>();
  private final Map<Integer, ServiceSums> sumsByService = new HashMap<>();
  private final Map<Integer, LoadSum> sumsByEndpoint = new HashMap<>();
  private final Map<Integer, List<TrackedEndpoint>> ownEndpointsByService = new HashMap<>();
  private final Map<ServiceName, Integer> serviceHashes = new HashMap<>();
  private long nextExpiryNanos;

  /** Sums over the relays that have valid figures of a service. */
  private static final class ServiceSums {
    final LoadSum shares = new LoadSum();
    long arrivalsPerSecond;
    double arrivalsTimesHeardSeconds;
  }

  /** Returns the load of an endpoint, assuming that all relays load it equally. */
  public static EndpointLoad equalShares(TrackedEndpoint endpoint, int relays) {
    return new EndpointLoad(
        (double) endpoint.inFlight() * relays,
        (double) endpoint.tokensInFlight() * relays,
        (double) endpoint.promptTokensInFlight() * relays);
  }

  /**
   * Returns the load of an endpoint.
   *
   * @param relays number of live relays, including this one
   * @param nowNanos current monotonic time in nanoseconds
   */
  public EndpointLoad at(TrackedEndpoint endpoint, int relays, long nowNanos) {
    expire(nowNanos);
    ServiceSums service = sumsByService.get(hash(endpoint.entry().service()));
    EndpointLoad own = equalShares(endpoint, 1 + withoutFigures(service, relays));
    if (service == null) {
      return own;
    }
    LoadSum named = sumsByEndpoint.get(endpoint.loadHash());
    Share shares = service.shares.total();
    Share others = named == null ? shares : shares.plus(named.total());
    return new EndpointLoad(
        own.requests() + Math.max(0, others.requests()),
        own.tokens() + Math.max(0, others.tokenUnits()) * LoadFigures.TOKENS_PER_UNIT,
        own.promptTokens() + Math.max(0, others.promptUnits()) * LoadFigures.TOKENS_PER_UNIT);
  }

  /** Returns the number of other live relays without valid figures of a service. */
  public int relaysWithoutFigures(ServiceName service, int relays, long nowNanos) {
    expire(nowNanos);
    return withoutFigures(sumsByService.get(hash(service)), relays);
  }

  private static int withoutFigures(ServiceSums service, int relays) {
    return Math.max(0, relays - 1 - (service == null ? 0 : service.shares.terms));
  }

  /**
   * Returns the number of requests that other relays are expected to have sent to a service since
   * their last notices. A relay without figures counts as one that sends a request now, as this
   * relay does.
   */
  public double unseenArrivals(ServiceName service, int relays, long nowNanos) {
    expire(nowNanos);
    ServiceSums sums = sumsByService.get(hash(service));
    double seen = withoutFigures(sums, relays);
    if (sums != null) {
      double nowSeconds = nowNanos / NANOS_PER_SECOND;
      seen += Math.max(0, sums.arrivalsPerSecond * nowSeconds - sums.arrivalsTimesHeardSeconds);
    }
    return seen;
  }

  /**
   * Sets the endpoints of a service, whose own load shows how the load that others tell without
   * naming endpoints is divided.
   */
  public void ownEndpoints(ServiceName service, List<TrackedEndpoint> endpoints) {
    ownEndpointsByService.put(hash(service), endpoints);
  }

  /** Returns the number of other relays with valid figures. */
  public int relaysWithFigures() {
    return figuresByRelay.size();
  }

  /**
   * Applies a notice. Notices of an earlier start of the relay and those that others have overtaken
   * are ignored; the first one of a new start replaces all figures of the relay.
   */
  public void noticeReceived(
      VmId relay, LoadNotice notice, long nowNanos, LinkTransferReceiver transfers) {
    expire(nowNanos);
    RelayFigures figures = figuresByRelay.get(relay);
    if (notice.isEmpty() || (figures != null && figures.outdates(notice))) {
      return;
    }
    if (figures == null || figures.startNumber() != notice.startNumber()) {
      int earlier = figures == null ? notice.startNumber() : figures.startNumber();
      if (figures != null) {
        figures.services.forEach(this::remove);
      }
      figures = new RelayFigures(notice.startNumber(), earlier);
      figuresByRelay.put(relay, figures);
    }
    figures.sequenceHeard(notice.sequence());
    for (ServiceLoad load : notice.services()) {
      apply(figures, load, nowNanos);
    }
    for (LinkTransfers heard : notice.transfers()) {
      int millis = figures.transferMillisSince(heard);
      if (millis > 0) {
        transfers.transferred(heard.link(), millis);
      }
    }
  }

  private void apply(RelayFigures relay, ServiceLoad load, long nowNanos) {
    ServiceFigures figures = relay.services.get(load.service());
    if (figures == null) {
      figures = new ServiceFigures(load, nowNanos);
      relay.services.put(load.service(), figures);
    } else {
      remove(load.service(), figures);
    }
    figures.heard(load, nowNanos);
    add(load.service(), figures);
  }

  private void add(int service, ServiceFigures figures) {
    if (sumsByService.isEmpty()) {
      nextExpiryNanos = figures.oldestNanos() + VALIDITY_NANOS;
    }
    ServiceSums sums = sumsByService.computeIfAbsent(service, hash -> new ServiceSums());
    figures.addTo(
        sums.shares, sumsByEndpoint, ownEndpointsByService.getOrDefault(service, List.of()));
    sums.arrivalsPerSecond += figures.arrivalsPerSecond();
    sums.arrivalsTimesHeardSeconds += arrivalsTimesHeardSeconds(figures);
  }

  private void remove(int service, ServiceFigures figures) {
    ServiceSums sums = sumsByService.get(service);
    figures.removeFrom(sums.shares, sumsByEndpoint);
    sums.arrivalsPerSecond -= figures.arrivalsPerSecond();
    sums.arrivalsTimesHeardSeconds -= arrivalsTimesHeardSeconds(figures);
    if (sums.shares.terms == 0) {
      sumsByService.remove(service);
    }
  }

  private static double arrivalsTimesHeardSeconds(ServiceFigures figures) {
    return figures.arrivalsPerSecond() * (figures.heardNanos() / NANOS_PER_SECOND);
  }

  /** Forgets figures that are not valid any more, when the first of them may have expired. */
  private void expire(long nowNanos) {
    if (figuresByRelay.isEmpty() || (!sumsByService.isEmpty() && nowNanos - nextExpiryNanos < 0)) {
      return;
    }
    nextExpiryNanos = nowNanos + VALIDITY_NANOS;
    Iterator<RelayFigures> relays = figuresByRelay.values().iterator();
    while (relays.hasNext()) {
      RelayFigures relay = relays.next();
      relay.services.entrySet().removeIf(entry -> !valid(entry, nowNanos));
      if (relay.services.isEmpty()) {
        relays.remove();
      }
    }
  }

  /** Returns whether figures of a service are valid; those of single endpoints may not be. */
  private boolean valid(Map.Entry<Integer, ServiceFigures> entry, long nowNanos) {
    ServiceFigures figures = entry.getValue();
    long heardUntilNanos = nowNanos - VALIDITY_NANOS;
    if (figures.heardNanos() - heardUntilNanos <= 0) {
      remove(entry.getKey(), figures);
      return false;
    }
    if (figures.oldestNanos() - heardUntilNanos <= 0) {
      remove(entry.getKey(), figures);
      figures.expireHeardUntil(heardUntilNanos);
      add(entry.getKey(), figures);
    }
    long expiryNanos = figures.oldestNanos() + VALIDITY_NANOS;
    nextExpiryNanos = nextExpiryNanos - expiryNanos < 0 ? nextExpiryNanos : expiryNanos;
    return true;
  }

  private int hash(ServiceName service) {
    return serviceHashes.computeIfAbsent(service, LoadHashes::of);
  }
}
