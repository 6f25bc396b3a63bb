package io.zinniawood.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vavr.control.Option;
import io.zinniawood.core.id.EndpointId;
import java.util.List;
import org.junit.jupiter.api.Test;

final class RelayPlacementsTest {
  private final RelayHarness relay = new RelayHarness();

  private void takeLease() {
    relay.post(new RelayEvent.LeaseRead(Option.none(), RelayHarness.version(0)));
    RelayEffect.WriteLease write = relay.lastEffect(RelayEffect.WriteLease.class);
    relay.post(new RelayEvent.LeaseRead(Option.some(write.row()), RelayHarness.version(5)));
  }

  // Two relays that give placement orders at the same time would load an endpoint twice.
  @Test
  void onlyLeaseHolderOrdersLayers() {
    relay.list(relay.empty("a"), relay.empty("b"));
    relay.advanceMillis(1_000);
    assertThat(relay.effectsOf(RelayEffect.Order.class), empty());
    takeLease();
    relay.advanceMillis(300);
    assertThat(relay.effectsOf(RelayEffect.Order.class), hasSize(2));
  }

  // More parallel loads than the weight store supports would slow each other down.
  @Test
  void parallelLoadsAreLimited() {
    relay.list(relay.empty("a"), relay.empty("b"), relay.empty("c"), relay.empty("d"));
    takeLease();
    relay.advanceMillis(2_000);
    assertThat(
        relay.effectsOf(RelayEffect.Order.class).size(),
        lessThanOrEqualTo(RelayHarness.engine().maxConcurrentLoads()));
  }

  // Each order carries the number of orders that the endpoint should have accepted before, so that
  // a late one is refused. After a refusal the relay reads the actual number and orders again.
  @Test
  void refusedOrderIsRepeatedWithReportedOrderCount() {
    relay.list(relay.empty("a"));
    takeLease();
    relay.advanceMillis(300);
    assertThat(relay.lastEffect(RelayEffect.Order.class).order().ordersAccepted(), is(0L));
    relay.post(new RelayEvent.OrderAnswered(new EndpointId("a"), OrderResult.REFUSED));
    relay.advanceMillis(300);
    assertThat(relay.lastEffect(RelayEffect.ReadReport.class).endpoint(), is(new EndpointId("a")));
    relay.post(
        new RelayEvent.ReportRead(new EndpointId("a"), new EndpointReport(4, 1, 1, List.of())));
    relay.advanceMillis(300);
    assertThat(relay.lastEffect(RelayEffect.Order.class).order().ordersAccepted(), is(4L));
  }

  // A holder whose lease was not renewed in time, as after a pause, must not give orders: another
  // relay may hold the lease by then.
  @Test
  void noOrdersAfterLeaseExpiry() {
    relay.list(relay.model("a", 0, 10));
    takeLease();
    relay.advanceMillis(6_000);
    relay.list(relay.model("a", 0, 10), relay.empty("b"));
    relay.advanceMillis(300);
    assertThat(relay.effectsOf(RelayEffect.Order.class), empty());
  }
}
