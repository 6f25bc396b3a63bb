package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.frame.ForeignHead;
import io.zinniawood.core.id.AcceleratorKind;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.PromptPartId;
import io.zinniawood.core.id.RequestFingerprint;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.id.StoreEra;
import io.zinniawood.core.id.StoreVersion;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.limit.StatedLimit;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.route.AcceleratorProfile;
import io.zinniawood.core.route.ApiKeyHolder;
import io.zinniawood.core.route.EngineProfile;
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
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Runs one relay reducer in simulated time and records its effects. */
final class RelayHarness {
  static final DataCentreId LOCAL = new DataCentreId("home");
  static final DataCentreId REMOTE = new DataCentreId("away");
  static final ServiceName MODEL = new ServiceName("model");
  static final ServiceName PLAIN = new ServiceName("plain");
  static final String KEY = "key-1";
  static final AcceleratorKind KIND = new AcceleratorKind("gpu");
  static final int LAYERS = 10;
  static final NodeAddress ADDRESS = new NodeAddress("10.0.1.1", 7_340);
  static final long GRACE_MILLIS = 8_000;

  /** Evidence of an answer with chunks on a connection of its own. */
  static final AnswerEvidence EVIDENCE =
      new AnswerEvidence(AnswerEvidence.End.LAST_CHUNK, 0, false, ForeignHead.ABSENT, 1_000);

  private static final long SEED = 7;
  private static final long STORE_CLOCK_OFFSET_MILLIS = 5_000_000;

  private final RelayState state;
  private final RelayReducer reducer = new RelayReducer();
  private final List<RelayEffect> effects = new ArrayList<>();
  private long nowNanos;
  private long rowVersion = 1;
  private long nextRequest;
  private long lastEventId;

  /** Creates a relay with a routing table but no endpoints. */
  RelayHarness() {
    this(version(1));
  }

  /** Creates a relay that has read its routing table at a version of the store. */
  RelayHarness(StoreVersion storeVersion) {
    this(new VmId("relay-1"), ADDRESS, SEED, TimeUnit.SECONDS.toNanos(100));
    post(new RelayEvent.RoutesAnswered(Optional.of(routes(1)), storeVersion));
  }

  /** Creates a relay that has read its routing table, with modes of the scheduling decisions. */
  RelayHarness(SchedulingSettings scheduling) {
    this(new VmId("relay-1"), ADDRESS, SEED, TimeUnit.SECONDS.toNanos(100), scheduling);
    post(new RelayEvent.RoutesAnswered(Optional.of(routes(1)), version(1)));
  }

  /** Creates a relay that has read nothing yet. */
  RelayHarness(VmId vm, NodeAddress address, long seed, long startNanos) {
    this(vm, address, seed, startNanos, SchedulingSettings.AUTO);
  }

  /** Creates a relay that has read nothing yet, with modes of the scheduling decisions. */
  RelayHarness(
      VmId vm, NodeAddress address, long seed, long startNanos, SchedulingSettings scheduling) {
    state =
        new RelayState(
            new RelayParameters(
                vm, LOCAL, Optional.of(address), false, GRACE_MILLIS, scheduling, seed));
    nowNanos = startNanos;
  }

  /** Returns a version of a store that names no era. */
  static StoreVersion version(long number) {
    return new StoreVersion(StoreEra.UNNAMED, number);
  }

  static RouteTable routes(long version) {
    return routes(version, Map.of(KEY, new ApiKeyHolder(new ClientAccountId("account"), -1)));
  }

  static RouteTable routes(long version, Map<String, ApiKeyHolder> keys) {
    return new RouteTable(
        version,
        List.of(
            route("stream", RouteKind.STREAMING, MODEL, 20_000, 2),
            route("read", RouteKind.IDEMPOTENT, PLAIN, 800, 2),
            route("book", RouteKind.NON_IDEMPOTENT, PLAIN, 800, 1),
            route("long-read", RouteKind.IDEMPOTENT, PLAIN, 20_000, 2),
            route("long-book", RouteKind.NON_IDEMPOTENT, PLAIN, 20_000, 1)),
        List.of(
            new RoutedService(MODEL, 100, Optional.of(engine())),
            new RoutedService(PLAIN, 100, Optional.empty())),
        true,
        keys,
        RequestLimits.DEFAULT);
  }

  static Route route(
      String name, RouteKind kind, ServiceName service, long timeoutMillis, int maxAttempts) {
    return new Route(
        name,
        "host",
        "/" + name + "/",
        kind,
        timeoutMillis,
        500,
        250,
        1,
        List.of(new ServiceShare(service, 1)),
        maxAttempts,
        false,
        kind == RouteKind.STREAMING);
  }

  static EngineProfile engine() {
    return new EngineProfile(
        LAYERS,
        1_000,
        10,
        2,
        1,
        0.005,
        0.000005,
        4,
        100_000,
        100_000,
        10_000,
        1_000,
        500,
        200,
        Map.of(KIND, new AcceleratorProfile(KIND, 20_000, 1, 1)));
  }

  /** Returns a model endpoint that holds layers {@code from} to {@code to}, exclusive. */
  FleetEndpoint model(String id, int from, int to) {
    return endpoint(id, MODEL, Optional.of(new LayerRange(from, to)), false);
  }

  /** Returns a model endpoint that holds layers, in another data centre than the relay. */
  FleetEndpoint remoteModel(String id, int from, int to) {
    FleetEndpoint local = model(id, from, to);
    return new FleetEndpoint(
        local.id(),
        local.service(),
        local.address(),
        REMOTE,
        local.slots(),
        local.draining(),
        local.accelerator(),
        local.layers(),
        local.startedMillis(),
        local.sequence(),
        local.rowVersion());
  }

  /** Returns a model endpoint without layers. */
  FleetEndpoint empty(String id) {
    return endpoint(id, MODEL, Optional.empty(), false);
  }

  /** Returns an endpoint of the plain service. */
  FleetEndpoint plain(String id) {
    return endpoint(id, PLAIN, Optional.empty(), false);
  }

  FleetEndpoint endpoint(
      String id, ServiceName service, Optional<LayerRange> layers, boolean draining) {
    return new FleetEndpoint(
        new EndpointId(id),
        service,
        new NodeAddress("10.0.0.1", 2_000 + Math.abs(id.hashCode() % 10_000)),
        LOCAL,
        6,
        draining,
        service.equals(MODEL) ? Optional.of(KIND) : Optional.empty(),
        layers,
        1,
        0,
        version(rowVersion++));
  }

  /** Returns the entry of a later start of an endpoint. */
  static FleetEndpoint restarted(FleetEndpoint before, long startedMillis, StoreVersion version) {
    return new FleetEndpoint(
        before.id(),
        before.service(),
        before.address(),
        before.dataCentre(),
        before.slots(),
        false,
        before.accelerator(),
        before.layers(),
        startedMillis,
        0,
        version);
  }

  void list(FleetEndpoint... endpoints) {
    post(new RelayEvent.EndpointsListed(List.of(endpoints), version(rowVersion), storeMillis()));
  }

  long nowNanos() {
    return nowNanos;
  }

  /** Returns the time of the store's clock. */
  long storeMillis() {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos) + STORE_CLOCK_OFFSET_MILLIS;
  }

  void post(RelayEvent event) {
    reducer.reduce(state, nowNanos, event).effects().forEach(effects::add);
  }

  void advanceMillis(long millis) {
    long endNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    while (nowNanos < endNanos) {
      nowNanos += TimeUnit.MILLISECONDS.toNanos(5);
      post(new RelayEvent.Tick());
    }
  }

  /** Advances the time and posts a single tick. */
  void tickAfterMillis(long millis) {
    pauseMillis(millis);
    post(new RelayEvent.Tick());
  }

  /** Returns the effects from an index on, in order. */
  List<RelayEffect> effectsFrom(int index) {
    return effects.subList(index, effects.size());
  }

  /** Advances the time without ticks, as if the process were paused. */
  void pauseMillis(long millis) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
  }

  RelayRequestId request(String route) {
    return request(route, Optional.of(KEY), 1_500);
  }

  RelayRequestId request(String route, long deadlineMillis) {
    return request(route, Optional.of(KEY), deadlineMillis);
  }

  RelayRequestId request(String route, Optional<String> key, long deadlineMillis) {
    return request(route, key, deadlineMillis, List.of());
  }

  private RelayRequestId request(
      String route, Optional<String> key, long deadlineMillis, List<PromptPartId> sharedParts) {
    return request(route, key, deadlineMillis, sharedParts, "content-" + (nextRequest + 1));
  }

  /** Posts a request; a repeat of it by its caller has the same content. */
  RelayRequestId repeatable(String route, String content, String... sharedParts) {
    return request(
        route,
        Optional.of(KEY),
        20_000,
        Stream.of(sharedParts).map(PromptPartId::new).toList(),
        content);
  }

  /** Posts a request of the holder of a key. */
  RelayRequestId request(
      String route,
      Optional<String> key,
      long deadlineMillis,
      List<PromptPartId> sharedParts,
      String content) {
    RelayRequestId id = new RelayRequestId(++nextRequest);
    post(
        new RelayEvent.RequestArrived(
            id,
            new CallerRequest(
                Optional.of(new RequestId("caller-" + nextRequest)),
                "host",
                "/" + route + "/x",
                key,
                OptionalLong.of(deadlineMillis),
                500,
                200,
                0,
                sharedParts),
            account -> fingerprint(account, content)));
    return id;
  }

  static RequestFingerprint fingerprint(Optional<ClientAccountId> account, String content) {
    return new RequestFingerprint(account.map(ClientAccountId::value).orElse("-") + "/" + content);
  }

  /** Posts a request for a stream whose prompt contains the given shared parts. */
  RelayRequestId stream(String... sharedParts) {
    return request(
        "stream", Optional.of(KEY), 20_000, Stream.of(sharedParts).map(PromptPartId::new).toList());
  }

  <T extends RelayEffect> List<T> effectsOf(Class<T> type) {
    return effects.stream().filter(type::isInstance).map(type::cast).toList();
  }

  <T extends RelayEffect> T lastEffect(Class<T> type) {
    List<T> found = effectsOf(type);
    if (found.isEmpty()) {
      throw new AssertionError(
          "expected an effect of type %s, found only %s".formatted(type.getSimpleName(), effects));
    }
    return found.get(found.size() - 1);
  }

  List<RelayEffect.Send> sends(RelayRequestId id) {
    return effectsOf(RelayEffect.Send.class).stream().filter(send -> send.id().equals(id)).toList();
  }

  Optional<LocalAnswer> localAnswer(RelayRequestId id) {
    return effectsOf(RelayEffect.AnswerLocally.class).stream()
        .filter(answer -> answer.id().equals(id))
        .map(RelayEffect.AnswerLocally::answer)
        .findFirst();
  }

  RelayState state() {
    return state;
  }

  void answerReceived(RelayRequestId id, int attempt, int status) {
    post(
        new RelayEvent.AnswerReceived(
            id,
            attempt,
            new AnswerSummary(status, true, false, Optional.empty(), false, StatedLimit.NONE)));
  }

  /** Posts an answer without a length that has ended with its connection. */
  void answerEnded(RelayRequestId id, int attempt, int status) {
    post(
        new RelayEvent.AnswerEnded(
            id,
            attempt,
            new AnswerSummary(status, true, false, Optional.empty(), false, StatedLimit.NONE)));
  }

  /** Posts the answer of a path on which an endpoint does not hold its layers. */
  void misdirected(RelayRequestId id, int attempt, NodeAddress endpointAtFault) {
    post(
        new RelayEvent.AnswerReceived(
            id,
            attempt,
            new AnswerSummary(
                421, false, false, Optional.of(endpointAtFault), false, StatedLimit.NONE)));
  }

  void notRun(RelayRequestId id, int attempt) {
    post(
        new RelayEvent.AnswerReceived(
            id,
            attempt,
            new AnswerSummary(503, false, true, Optional.empty(), false, StatedLimit.NONE)));
  }

  /** Posts a refusal of the endpoint that the attempt was sent to, with a time. */
  void refusedFor(RelayRequestId id, int attempt, long pauseMillis) {
    EndpointId endpoint = sends(id).get(attempt - 1).options().expectedEndpoint();
    post(
        new RelayEvent.EndpointStated(
            state.incarnation(endpoint),
            new EndpointStatement(
                false, OptionalLong.of(pauseMillis), StatedLimit.NONE, Optional.empty())));
    post(
        new RelayEvent.AnswerReceived(
            id,
            attempt,
            new AnswerSummary(503, false, true, Optional.empty(), true, StatedLimit.NONE)));
  }

  void attemptFailed(RelayRequestId id, int attempt, AttemptFailureCause cause) {
    post(new RelayEvent.AttemptFailed(id, attempt, cause, 0));
  }

  void streamAdvanced(RelayRequestId id, int attempt) {
    post(new RelayEvent.StreamAdvanced(id, attempt, ++lastEventId));
  }
}
