package io.zinniawood.entry.internal.http;

import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.StatusCode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.ClientAccount;
import io.zinniawood.core.configuration.ModelDefinition;
import io.zinniawood.core.configuration.ServiceDefinition;
import io.zinniawood.core.entry.EntryEvent;
import io.zinniawood.core.entry.Readiness;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.model.Idempotency;
import io.zinniawood.core.model.Priority;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;
import io.zinniawood.core.model.ServiceCall;
import io.zinniawood.entry.internal.chat.ChatRequest;
import io.zinniawood.entry.internal.chat.ChatRequestParser;
import io.zinniawood.entry.internal.chat.ChatResponses;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** HTTP routes of the callers' port; converts requests to events. */
public final class CallerRoutes {
  private static final List<String> SERVICE_METHODS =
      List.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");
  private static final long RETRY_AFTER_MILLIS = 1_000;
  private static final int MAX_SERVICE_NAME_CHARACTERS = 256;

  private final Supplier<Option<CallerConfiguration>> configuration;
  private final Supplier<Readiness> readiness;
  private final OpenRequests openRequests;
  private final RequestIdGenerator ids;
  private final Consumer<EntryEvent> events;
  private final LongSupplier clockNanos;
  private final ChatRequestParser parser = new ChatRequestParser();
  private final UnsentBytes unsentBytes = new UnsentBytes();

  /**
   * Creates the routes.
   *
   * @param configuration supplies the current configuration, none before the first
   * @param readiness supplies the current readiness
   * @param openRequests receives the replies of new requests
   * @param ids generates the request ids
   * @param events receives the events
   * @param clockNanos monotonic clock in nanoseconds
   */
  public CallerRoutes(
      Supplier<Option<CallerConfiguration>> configuration,
      Supplier<Readiness> readiness,
      OpenRequests openRequests,
      RequestIdGenerator ids,
      Consumer<EntryEvent> events,
      LongSupplier clockNanos) {
    this.configuration = configuration;
    this.readiness = readiness;
    this.openRequests = openRequests;
    this.ids = ids;
    this.events = events;
    this.clockNanos = clockNanos;
  }

  /** Adds the routes to an application. */
  public void install(Jooby application) {
    application.post(
        "/v1/chat/completions", context -> authenticateAndHandle(context, this::handleChat));
    application.get("/v1/models", context -> authenticateAndHandle(context, this::handleModelList));
    for (String method : SERVICE_METHODS) {
      application.route(
          method,
          "/services/{name}",
          context -> authenticateAndHandle(context, this::handleServiceCall));
      application.route(
          method,
          "/services/{name}/*",
          context -> authenticateAndHandle(context, this::handleServiceCall));
    }
    // Netty's decoder replaces a request that it cannot decode by a request for this path.
    application.get(
        "/bad-request",
        context ->
            refuse(
                context,
                ids.next(),
                badRequest("the request line or a header is malformed or too large")));
    application.error(
        (context, cause, code) -> {
          if (!closeIfPipelined(context)) {
            ProblemDocument.send(context, httpProblem(code), ids.next());
          }
        });
  }

  // Closing the connection cancels its open request.
  private static boolean closeIfPipelined(Context context) {
    Option<CallerChannel> busy = CallerChannel.of(context).filter(CallerChannel::isBusy);
    busy.forEach(CallerChannel::close);
    return busy.isDefined();
  }

  private static Problem httpProblem(StatusCode code) {
    return switch (code.value()) {
      case StatusCode.REQUEST_ENTITY_TOO_LARGE_CODE ->
          Problem.notRun(ProblemType.TOO_LARGE, "the request body exceeds the size limit");
      case StatusCode.NOT_FOUND_CODE ->
          Problem.notRun(ProblemType.NOT_FOUND, "the path does not exist");
      case StatusCode.METHOD_NOT_ALLOWED_CODE ->
          Problem.notRun(ProblemType.NOT_FOUND, "the path does not support this method");
      case StatusCode.BAD_REQUEST_CODE -> badRequest("the request is malformed");
      default -> Problem.notRun(ProblemType.INTERNAL, "the entry failed to handle the request");
    };
  }

  /** Handles one authenticated request; a returned problem is sent to the caller. */
  @FunctionalInterface
  private interface Handler {
    Option<Problem> handle(AuthenticatedCall call);
  }

  private record AuthenticatedCall(
      Context context,
      RequestId request,
      CallerConfiguration configuration,
      ClientAccount account) {}

  private Context authenticateAndHandle(Context context, Handler handler) {
    if (closeIfPipelined(context)) {
      return context;
    }
    if (readiness.get() == Readiness.DRAINING) {
      // Makes the caller reconnect, so that the load balancer selects another entry.
      context.setResponseHeader("Connection", "close");
    }
    RequestId request = ids.next();
    Option<Problem> headerProblem = RequestHeaders.check(context);
    if (headerProblem.isDefined()) {
      return refuse(context, request, headerProblem.get());
    }
    Option<CallerConfiguration> current = configuration.get();
    if (current.isEmpty()) {
      return refuse(
          context,
          request,
          Problem.notRunRetry(
              ProblemType.NOT_READY,
              "the entry has not received a configuration yet",
              RETRY_AFTER_MILLIS));
    }
    RequestHeaders.authenticate(context, current.get())
        .<Option<Problem>>fold(
            Option::some,
            account ->
                handler.handle(new AuthenticatedCall(context, request, current.get(), account)))
        .forEach(problem -> refuse(context, request, problem));
    return context;
  }

  private static Context refuse(Context context, RequestId request, Problem problem) {
    ProblemDocument.send(context, problem, request);
    return context;
  }

  private Option<Problem> handleModelList(AuthenticatedCall call) {
    call.context().setResponseType("application/json");
    call.context()
        .send(
            ChatResponses.modelList(
                call.configuration().cluster().models().keySet().toVector().sorted()));
    return Option.none();
  }

  private Option<Problem> handleChat(AuthenticatedCall call) {
    Either<Problem, ChatRequest> parsed =
        parser.parse(call.context().body().bytes()).mapLeft(error -> badRequest(error.detail()));
    return parsed
        .flatMap(chat -> findModel(call, chat.model()).map(model -> Map.entry(chat, model)))
        .flatMap(pair -> chatEvent(call, pair.getKey(), pair.getValue()))
        .fold(Option::some, pair -> openRequest(call, pair.getKey(), pair.getValue()));
  }

  private static Either<Problem, ModelDefinition> findModel(AuthenticatedCall call, ModelId model) {
    return call.configuration()
        .cluster()
        .models()
        .get(model)
        .toEither(Problem.notRun(ProblemType.NOT_FOUND, "the model does not exist"));
  }

  private Either<Problem, Map.Entry<CallerReply, EntryEvent>> chatEvent(
      AuthenticatedCall call, ChatRequest chat, ModelDefinition model) {
    return RequestHeaders.deadlineMillis(call.context(), model.defaultDeadlineMillis())
        .flatMap(
            deadlineMillis ->
                RequestHeaders.priority(call.context(), call.account())
                    .map(
                        priority ->
                            Map.entry(
                                chatReply(call, chat),
                                modelRequest(call, chat, model, priority, deadlineMillis))));
  }

  private EntryEvent modelRequest(
      AuthenticatedCall call,
      ChatRequest chat,
      ModelDefinition model,
      Priority priority,
      long deadlineMillis) {
    int maxTokens = Math.min(model.maxTokens(), chat.maxTokens().getOrElse(model.maxTokens()));
    return new EntryEvent.ModelRequestArrived(
        call.request(),
        call.account().id(),
        model.id(),
        chat.prompt(),
        chat.prefixHash(),
        chat.promptTokens(),
        maxTokens,
        priority,
        deadlineNanos(deadlineMillis));
  }

  private CallerReply chatReply(AuthenticatedCall call, ChatRequest chat) {
    ChatResponses responses =
        new ChatResponses(
            call.request(),
            chat.model(),
            TimeUnit.MILLISECONDS.toSeconds(System.currentTimeMillis()));
    return chat.delivery() == ChatRequest.Delivery.SINGLE_DOCUMENT
        ? new BufferedChatReply(call.context(), lifecycle(call), responses, chat.promptTokens())
        : new StreamingChatReply(
            call.context(), lifecycle(call), responses, chat, unsentBytes.openStream());
  }

  private RequestLifecycle lifecycle(AuthenticatedCall call) {
    return new RequestLifecycle(call.request(), openRequests, CallerChannel.of(call.context()));
  }

  private Option<Problem> handleServiceCall(AuthenticatedCall call) {
    Context context = call.context();
    String name = context.path("name").value();
    if (name.isBlank() || name.length() > MAX_SERVICE_NAME_CHARACTERS) {
      return Option.some(Problem.notRun(ProblemType.NOT_FOUND, "the service does not exist"));
    }
    Option<ServiceDefinition> service =
        call.configuration().cluster().services().get(new ServiceName(name));
    if (service.isEmpty()) {
      return Option.some(Problem.notRun(ProblemType.NOT_FOUND, "the service does not exist"));
    }
    return ServiceCallParser.parse(context, name)
        .flatMap(serviceCall -> serviceEvent(call, service.get(), serviceCall))
        .fold(
            Option::some,
            event -> openRequest(call, new ServiceReply(context, lifecycle(call)), event));
  }

  private Either<Problem, EntryEvent> serviceEvent(
      AuthenticatedCall call, ServiceDefinition service, ServiceCall serviceCall) {
    Context context = call.context();
    Idempotency idempotency =
        service.idempotentMethods().contains(serviceCall.method())
            ? Idempotency.IDEMPOTENT
            : Idempotency.NON_IDEMPOTENT;
    return RequestHeaders.deadlineMillis(context, service.defaultDeadlineMillis())
        .flatMap(
            deadlineMillis ->
                RequestHeaders.priority(context, call.account())
                    .flatMap(
                        priority ->
                            RequestHeaders.idempotencyKey(context)
                                .map(
                                    key ->
                                        new EntryEvent.ServiceRequestArrived(
                                            call.request(),
                                            call.account().id(),
                                            service.name(),
                                            serviceCall,
                                            idempotency,
                                            key,
                                            priority,
                                            deadlineNanos(deadlineMillis)))));
  }

  private Option<Problem> openRequest(AuthenticatedCall call, CallerReply reply, EntryEvent event) {
    if (!openRequests.add(call.request(), reply)) {
      return Option.some(
          Problem.notRunRetry(
              ProblemType.OVERLOADED, "the entry has too many open requests", RETRY_AFTER_MILLIS));
    }
    Option<CallerChannel> channel = CallerChannel.of(call.context());
    channel.forEach(CallerChannel::markBusy);
    events.accept(event);
    channel.forEach(caller -> caller.onClosed(() -> openRequests.abandon(call.request())));
    return Option.none();
  }

  private long deadlineNanos(long deadlineMillis) {
    return clockNanos.getAsLong() + TimeUnit.MILLISECONDS.toNanos(deadlineMillis);
  }

  private static Problem badRequest(String detail) {
    return Problem.notRun(ProblemType.BAD_REQUEST, detail);
  }
}
