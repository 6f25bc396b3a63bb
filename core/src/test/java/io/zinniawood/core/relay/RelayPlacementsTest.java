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
    relay.post(new RelayEvent.LeaseRead(Option.none(), 0));
    RelayEffect.WriteLease write = relay.lastEffect(RelayEffect.WriteLease.class);
    relay.post(new RelayEvent.LeaseRead(Option.some(write.row()), 5));
  }

  // Two relays that order layers at once would load an endpoint twice.
  @Test
  void onlyTheHolderOfTheLeaseOrdersLayers() {
    relay.list(relay.empty("a"), relay.empty("b"));
    relay.advanceMillis(1_000);
    assertThat(relay.effectsOf(RelayEffect.Order.class), empty());
    takeLease();
    relay.advanceMillis(300);
    assertThat(relay.effectsOf(RelayEffect.Order.class), hasSize(2));
  }

  // Loads beyond the weight store's limit slow each other down.
  @Test
  void loadsAtOnceAreBounded() {
    relay.list(relay.empty("a"), relay.empty("b"), relay.empty("c"), relay.empty("d"));
    takeLease();
    relay.advanceMillis(2_000);
    assertThat(
        relay.effectsOf(RelayEffect.Order.class).size(),
        lessThanOrEqualTo(RelayHarness.engine().loadsAtOnce()));
  }

  // A late order is made to fail by the number of orders that it expects.
  @Test
  void orderIsGivenAgainWithTheReportedNumberAfterRefusal() {
    relay.list(relay.empty("a"));
    takeLease();
    relay.advanceMillis(300);
    assertThat(relay.lastEffect(RelayEffect.Order.class).order().ordersAccepted(), is(0L));
    relay.post(new RelayEvent.OrderAnswered(new EndpointId("a"), OrderResult.REFUSED));
    relay.advanceMillis(300);
    assertThat(relay.lastEffect(RelayEffect.ReadReport.class).endpoint(), is(new EndpointId("a")));
    relay.post(new RelayEvent.ReportRead(new EndpointId("a"), new EndpointReport(4, 1, List.of())));
    relay.advanceMillis(300);
    assertThat(relay.lastEffect(RelayEffect.Order.class).order().ordersAccepted(), is(4L));
  }

  // A holder that was paused must not order on a lease that others may hold by now.
  @Test
  void expiredLeaseGivesNoOrders() {
    relay.list(relay.model("a", 0, 10));
    takeLease();
    relay.advanceMillis(6_000);
    relay.list(relay.model("a", 0, 10), relay.empty("b"));
    relay.advanceMillis(300);
    assertThat(relay.effectsOf(RelayEffect.Order.class), empty());
  }
}
