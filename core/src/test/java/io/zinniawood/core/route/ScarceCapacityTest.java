package io.zinniawood.core.route;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.zinniawood.core.id.ServiceName;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ScarceCapacityTest {
  private static final ServiceName MODEL = new ServiceName("model");
  private static final ServiceName PLAIN = new ServiceName("plain");
  private static final int PROMPT_TOKENS = 760;
  private static final double ACTIVATION_BYTES = 20_000;

  // Guards against switching the decisions on where links are wide and no route competes.
  @Test
  void wideLinksAndEqualRoutesDoNotCallForIt() {
    assertThat(scarce(6_000, 1, 1), is(false));
  }

  // Guards against leaving the decisions off where routes compete for the same endpoints.
  @Test
  void routesWithDifferentPrioritiesCallForIt() {
    assertThat(scarce(6_000, 0, 2), is(true));
  }

  // Guards against leaving the decisions off where three prompts use a fifth of the target latency.
  @Test
  void narrowLinksCallForIt() {
    assertThat(scarce(2_500, 1, 1), is(true));
  }

  // Guards against counting a link without a bandwidth limit as the narrowest one.
  @Test
  void unlimitedLinksDoNotCallForIt() {
    assertThat(scarce(0, 1, 1), is(false));
  }

  // Guards against taking the priorities of plain calls for competition at the model's endpoints.
  @Test
  void plainRoutesDoNotCount() {
    RouteTable table = table(6_000, route(0, 1, MODEL), route(1, 3, PLAIN));
    assertThat(table.capacityScarce(MODEL), is(false));
    assertThat(table.capacityScarce(PLAIN), is(false));
  }

  private static boolean scarce(double linkMegabits, int... priorities) {
    List<Route> routes = new ArrayList<>();
    for (int index = 0; index < priorities.length; index++) {
      routes.add(route(index, priorities[index], MODEL));
    }
    return table(linkMegabits, routes.toArray(Route[]::new)).capacityScarce(MODEL);
  }

  private static RouteTable table(double linkMegabits, Route... routes) {
    return new RouteTable(
        1,
        List.of(routes),
        List.of(
            new RoutedService(MODEL, 100, Optional.of(engine(linkMegabits))),
            new RoutedService(PLAIN, 100, Optional.empty())),
        false,
        Map.of(),
        RequestLimits.DEFAULT);
  }

  private static Route route(int number, int priority, ServiceName service) {
    return new Route(
        "route-" + number,
        "host",
        "/" + number + "/",
        service.equals(MODEL) ? RouteKind.STREAMING : RouteKind.IDEMPOTENT,
        20_000,
        500,
        250,
        priority,
        List.of(new ServiceShare(service, 1)),
        2,
        false,
        true);
  }

  private static EngineProfile engine(double linkMegabits) {
    return new EngineProfile(
        80,
        1_750,
        14,
        9,
        1,
        0,
        0,
        2,
        350_000,
        1,
        ACTIVATION_BYTES,
        linkMegabits,
        PROMPT_TOKENS,
        140,
        Map.of());
  }
}
