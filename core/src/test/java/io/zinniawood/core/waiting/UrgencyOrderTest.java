package io.zinniawood.core.waiting;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.RequestFingerprint;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests the order of waiting requests and what it is derived from. */
final class UrgencyOrderTest {
  private static final long SECOND = 1_000_000_000L;

  private static Optional<ClientAccountId> account(String name) {
    return Optional.of(new ClientAccountId(name));
  }

  private static WaitingRequest request(String account, int routePriority, long arrivedNanos) {
    return new WaitingRequest(account(account), 3, routePriority, arrivedNanos, SECOND);
  }

  private static List<WaitingRequest> sort(WaitingRequest... requests) {
    return UrgencyOrder.sort(
        List.of(requests), request -> request, account -> 0, 10 * SECOND / 100);
  }

  // Guards against routes that do not differ where all accounts have one priority.
  @Test
  void routePriorityCountsAmongAccountsOfOnePriorityAndStartedStreamsGoFirst() {
    WaitingRequest less = request("a", 2, 1);
    WaitingRequest urgent = request("a", 0, 2);
    WaitingRequest started = request("a", 2, 3);
    started.setStarted(true);
    assertThat(sort(less, urgent, started), is(List.of(started, urgent, less)));
  }

  // Guards against an account that takes the capacity of others with many requests.
  @Test
  void accountsTakeTurnsByCapacityInUse() {
    WaitingRequest first = request("a", 1, 1);
    WaitingRequest second = request("a", 1, 2);
    WaitingRequest third = request("a", 1, 3);
    WaitingRequest other = request("b", 1, 4);
    assertThat(sort(first, second, third, other), is(List.of(first, other, second, third)));
  }

  // Guards against requests that are overtaken without end.
  @Test
  void overtakenRequestIsNextAfterEightOthers() {
    WaitingRequest less = request("a", 2, 1);
    WaitingRequest urgent = request("b", 0, 20);
    for (int sent = 0; sent < 7; sent++) {
      less.otherSent(request("b", 0, 2 + sent));
    }
    less.otherSent(request("b", 2, 9));
    assertThat(sort(less, urgent), is(List.of(urgent, less)));
    less.otherSent(request("b", 0, 10));
    assertThat(sort(less, urgent), is(List.of(less, urgent)));
  }

  // Guards against a due request of one account for each of its waiting requests.
  @Test
  void onlyTheOldestRequestOfAnAccountIsDue() {
    WaitingRequest first = request("a", 2, -SECOND);
    WaitingRequest second = request("a", 2, -SECOND + 1);
    WaitingRequest urgent = request("b", 0, 1);
    assertThat(sort(first, second, urgent), is(List.of(first, urgent, second)));
  }

  // Guards against a reserve that stays unused without urgent demand.
  @Test
  void reserveIsKeptOnlyWhileUrgentRequestsArrive() {
    UrgentReserve reserve = new UrgentReserve();
    assertThat(reserve.permits(0, 1), is(true));
    reserve.urgentArrived(0);
    assertThat(reserve.permits(SECOND, 0.95), is(false));
    assertThat(reserve.permits(SECOND, 0.9), is(true));
    assertThat(reserve.permits(2 * SECOND, 1), is(true));
  }

  // Guards against callers that profit from returning early, and against unbounded memory.
  @Test
  void callerReturnsOnceAfterItsRetryAfter() {
    ExpectedReturns returns = new ExpectedReturns();
    RequestFingerprint fingerprint = new RequestFingerprint("f");
    returns.refused(account("a"), fingerprint, 0, 1_000);
    assertThat(returns.returned(account("a"), fingerprint, SECOND / 2), is(false));
    assertThat(returns.returned(account("b"), fingerprint, SECOND), is(false));
    assertThat(returns.returned(account("a"), fingerprint, SECOND), is(true));
    assertThat(returns.returned(account("a"), fingerprint, SECOND), is(false));
    for (int index = 0; index < 5_000; index++) {
      returns.refused(account("a" + index % 40), new RequestFingerprint("f" + index), 0, 1_000);
    }
    assertThat(returns.size(), is(1_024));
    assertThat(returns.returned(account("a"), new RequestFingerprint("x"), 7 * SECOND), is(false));
    assertThat(returns.size(), is(0));
  }
}
