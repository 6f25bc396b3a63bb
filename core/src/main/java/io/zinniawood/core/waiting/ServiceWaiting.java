package io.zinniawood.core.waiting;

import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.rate.DecayingRate;
import java.util.Optional;

/** What a relay observes of the requests of one service, for the wait and order of the next. */
public final class ServiceWaiting {
  private final WaitForecast forecast = new WaitForecast();
  private final ExpectedReturns returns = new ExpectedReturns();
  private final UrgentReserve reserve = new UrgentReserve();
  private final DecayingRate urgentArrivals = new DecayingRate(2);
  private final ServedShares<Optional<ClientAccountId>> accounts = new ServedShares<>();
  private final ServedShares<Integer> priorities = new ServedShares<>();

  /** Returns the forecast of the wait. */
  public WaitForecast forecast() {
    return forecast;
  }

  /** Returns the callers that are expected to return. */
  public ExpectedReturns returns() {
    return returns;
  }

  /** Returns the capacity that is kept for urgent requests. */
  public UrgentReserve reserve() {
    return reserve;
  }

  /** Records a request of one of the most urgent routes, where these differ. */
  public void urgentArrived(long nowNanos) {
    reserve.urgentArrived(nowNanos);
    urgentArrivals.add(nowNanos);
  }

  /** Returns the rate of the requests of the most urgent routes. */
  public double urgentPerSecond(long nowNanos) {
    return urgentArrivals.perSecond(nowNanos);
  }

  /** Records a request that arrived. */
  public void arrived(WaitingRequest request, long nowNanos) {
    forecast.arrived(nowNanos);
    accounts.arrived(request.account(), nowNanos);
    priorities.arrived(request.routePriority(), nowNanos);
  }

  /** Lets a request go first if its account or priority would be starved otherwise. */
  public void guarantee(WaitingRequest request, long nowNanos) {
    // A guarantee is left for a caller that was refused and is expected to return.
    boolean leftForReturn = !request.returning() && returns.expected(request.account());
    int missing = leftForReturn ? 2 : 1;
    if (!request.guaranteed()
        && (accounts.missing(request.account(), nowNanos) >= missing
            || priorities.missing(request.routePriority(), nowNanos) >= missing)) {
      request.setGuaranteed(true);
      addGuaranteed(request, 1);
    }
  }

  /** Records that a request no longer waits: it was sent, refused or left. */
  public void waitEnded(WaitingRequest request) {
    if (request.guaranteed()) {
      request.setGuaranteed(false);
      addGuaranteed(request, -1);
    }
  }

  /** Records that a request was sent for the first time. */
  public void served(WaitingRequest request, long nowNanos) {
    accounts.served(request.account(), nowNanos);
    priorities.served(request.routePriority(), nowNanos);
  }

  private void addGuaranteed(WaitingRequest request, int change) {
    accounts.addGuaranteed(request.account(), change);
    priorities.addGuaranteed(request.routePriority(), change);
  }
}
