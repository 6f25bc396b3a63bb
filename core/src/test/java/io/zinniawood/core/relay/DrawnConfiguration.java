package io.zinniawood.core.relay;

import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.route.ApiKeyHolder;
import io.zinniawood.core.route.RequestLimits;
import io.zinniawood.core.route.Route;
import io.zinniawood.core.route.RouteKind;
import io.zinniawood.core.route.RouteTable;
import io.zinniawood.core.route.RoutedService;
import io.zinniawood.core.route.ServiceShare;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/** Draws configurations in which anything may differ from the one before. */
final class DrawnConfiguration {
  private static final ServiceName UNLISTED = new ServiceName("unlisted");

  private DrawnConfiguration() {}

  static RouteTable draw(SplittableRandom random, long version) {
    List<Route> routes = new ArrayList<>();
    for (RouteKind kind : RouteKind.values()) {
      if (random.nextInt(8) > 0) {
        routes.add(route(random, kind));
      }
    }
    List<RoutedService> services = new ArrayList<>();
    for (ServiceName name : List.of(RelayHarness.MODEL, RelayHarness.PLAIN)) {
      if (random.nextInt(8) > 0) {
        boolean layered = name.equals(RelayHarness.MODEL) == random.nextInt(8) > 0;
        services.add(
            new RoutedService(
                name,
                random.nextInt(100),
                layered ? Optional.of(RelayHarness.engine()) : Optional.empty()));
      }
    }
    ApiKeyHolder holder =
        new ApiKeyHolder(new ClientAccountId("account"), random.nextInt(4) == 0 ? 3 : -1);
    return new RouteTable(
        version,
        routes,
        services,
        random.nextBoolean(),
        random.nextInt(6) > 0 ? Map.of(RelayHarness.KEY, holder) : Map.of(),
        new RequestLimits(
            random.nextInt(20_000), random.nextInt(20_000), random.nextInt(5_000), 1));
  }

  private static Route route(SplittableRandom random, RouteKind kind) {
    List<ServiceShare> shares = new ArrayList<>();
    boolean streaming = kind == RouteKind.STREAMING;
    ServiceName usual = streaming ? RelayHarness.MODEL : RelayHarness.PLAIN;
    ServiceName other = streaming ? RelayHarness.PLAIN : RelayHarness.MODEL;
    shares.add(new ServiceShare(usual, random.nextInt(4)));
    if (random.nextInt(6) == 0) {
      shares.add(new ServiceShare(random.nextBoolean() ? other : UNLISTED, random.nextInt(3)));
    }
    String name =
        switch (kind) {
          case STREAMING -> "stream";
          case IDEMPOTENT -> "read";
          case NON_IDEMPOTENT -> "book";
        };
    return new Route(
        name,
        "host",
        "/" + name + "/",
        kind,
        random.nextInt(10) == 0 ? 0 : 100 + random.nextInt(2_500),
        random.nextInt(800),
        random.nextInt(300),
        random.nextInt(4),
        shares,
        1 + random.nextInt(3),
        random.nextInt(4) == 0,
        streaming && random.nextInt(4) > 0);
  }
}
