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

/** Routes of the callers' port: turns HTTP requests into events. */
public final class CallerRoutes {
  private static final List<String> METHODS =
      List.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");
  private static final long RETRY_AFTER_MILLIS = 1_000;
  private static final int MAX_NAME_CHARACTERS = 256;

  private final Supplier<Option<AcceptedView>> configuration;
  private final OpenRequests openRequests;
  private final RequestIds ids;
  private final Consumer<EntryEvent> events;
  private final LongSupplier clockNanos;
  private final ChatRequestParser parser = new ChatRequestParser();
  private final WaitingBytes waitingBytes = new WaitingBytes();

  /**
   * Creates the routes.
   *
   * @param configuration accepted configuration, none before the first
   * @param openRequests open requests
   * @param ids source of request ids
   * @param events takes the events
   * @param clockNanos monotonic clock in nanoseconds
   */
  public CallerRoutes(
      Supplier<Option<AcceptedView>> configuration,
      OpenRequests openRequests,
      RequestIds ids,
      Consumer<EntryEvent> events,
      LongSupplier clockNanos) {
    this.configuration = configuration;
    this.openRequests = openRequests;
    this.ids = ids;
    this.events = events;
    this.clockNanos = clockNanos;
  }

  /** Adds the routes to an application. */
  public void install(Jooby application) {
    application.post("/v1/chat/completions", context -> respond(context, this::chat));
    application.get("/v1/models", context -> respond(context, this::models));
    for (String method : METHODS) {
      application.route(method, "/services/{name}", context -> respond(context, this::service));
      application.route(method, "/services/{name}/*", context -> respond(context, this::service));
    }
    // Netty's decoder replaces a request that it cannot read by a request for this path.
    application.get(
        "/bad-request",
        context ->
            refuse(
                context,
                ids.next(),
                bad("the request line or a header is malformed or too large")));
    application.error(
        (context, cause, code) -> {
          if (!closedAsPipelined(context)) {
            ProblemDocument.send(context, httpProblem(code), ids.next());
          }
        });
  }

  // The open request of the connection is cancelled by the close.
  private static boolean closedAsPipelined(Context context) {
    Option<CallerChannel> busy = CallerChannel.of(context).filter(CallerChannel::busy);
    busy.forEach(CallerChannel::close);
    return busy.isDefined();
  }

  private static Problem httpProblem(StatusCode code) {
    return switch (code.value()) {
      case StatusCode.REQUEST_ENTITY_TOO_LARGE_CODE ->
          Problem.notRun(ProblemType.TOO_LARGE, "the body is too large");
      case StatusCode.NOT_FOUND_CODE ->
          Problem.notRun(ProblemType.NOT_FOUND, "the path does not exist");
      case StatusCode.METHOD_NOT_ALLOWED_CODE ->
          Problem.notRun(ProblemType.NOT_FOUND, "the path does not support this method");
      case StatusCode.BAD_REQUEST_CODE -> bad("the request is malformed");
      default -> Problem.notRun(ProblemType.INTERNAL, "the entry failed to handle the request");
    };
  }

  /** Handles one request after authentication; a problem is sent to the caller. */
  @FunctionalInterface
  private interface Handler {
    Option<Problem> handle(Call call);
  }

  private record Call(
      Context context, RequestId request, AcceptedView view, ClientAccount account) {}

  private Context respond(Context context, Handler handler) {
    if (closedAsPipelined(context)) {
      return context;
    }
    RequestId request = ids.next();
    Option<Problem> badHeader = RequestHeaders.check(context);
    if (badHeader.isDefined()) {
      return refuse(context, request, badHeader.get());
    }
    Option<AcceptedView> view = configuration.get();
    if (view.isEmpty()) {
      return refuse(
          context,
          request,
          Problem.notRunRetry(
              ProblemType.NOT_READY, "the entry has no configuration yet", RETRY_AFTER_MILLIS));
    }
    RequestHeaders.authenticate(context, view.get())
        .<Option<Problem>>fold(
            Option::some,
            account -> handler.handle(new Call(context, request, view.get(), account)))
        .forEach(problem -> refuse(context, request, problem));
    return context;
  }

  private static Context refuse(Context context, RequestId request, Problem problem) {
    ProblemDocument.send(context, problem, request);
    return context;
  }

  private Option<Problem> models(Call call) {
    call.context().setResponseType("application/json");
    call.context()
        .send(ChatResponses.models(call.view().cluster().models().keySet().toVector().sorted()));
    return Option.none();
  }

  private Option<Problem> chat(Call call) {
    Either<Problem, ChatRequest> parsed =
        parser.parse(call.context().body().bytes()).mapLeft(error -> bad(error.detail()));
    return parsed
        .flatMap(chat -> findModel(call, chat.model()).map(model -> Map.entry(chat, model)))
        .flatMap(pair -> chatEvent(call, pair.getKey(), pair.getValue()))
        .fold(Option::some, pair -> open(call, pair.getKey(), pair.getValue()));
  }

  private static Either<Problem, ModelDefinition> findModel(Call call, ModelId model) {
    return call.view()
        .cluster()
        .models()
        .get(model)
        .toEither(Problem.notRun(ProblemType.NOT_FOUND, "the model does not exist"));
  }

  private Either<Problem, Map.Entry<CallerReply, EntryEvent>> chatEvent(
      Call call, ChatRequest chat, ModelDefinition model) {
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
      Call call, ChatRequest chat, ModelDefinition model, Priority priority, long deadlineMillis) {
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

  private CallerReply chatReply(Call call, ChatRequest chat) {
    ChatResponses responses =
        new ChatResponses(
            call.request(),
            chat.model(),
            TimeUnit.MILLISECONDS.toSeconds(System.currentTimeMillis()));
    return chat.delivery() == ChatRequest.Delivery.WHOLE
        ? new WholeReply(call.context(), slot(call), responses, chat.promptTokens())
        : new StreamReply(call.context(), slot(call), responses, chat, waitingBytes.open());
  }

  private CallerSlot slot(Call call) {
    return new CallerSlot(call.request(), openRequests, CallerChannel.of(call.context()));
  }

  private Option<Problem> service(Call call) {
    Context context = call.context();
    String name = context.path("name").value();
    if (name.isBlank() || name.length() > MAX_NAME_CHARACTERS) {
      return Option.some(Problem.notRun(ProblemType.NOT_FOUND, "the service does not exist"));
    }
    Option<ServiceDefinition> service = call.view().cluster().services().get(new ServiceName(name));
    if (service.isEmpty()) {
      return Option.some(Problem.notRun(ProblemType.NOT_FOUND, "the service does not exist"));
    }
    return ServiceCalls.read(context, name)
        .flatMap(serviceCall -> serviceEvent(call, service.get(), serviceCall))
        .fold(Option::some, event -> open(call, new ServiceReply(context, slot(call)), event));
  }

  private Either<Problem, EntryEvent> serviceEvent(
      Call call, ServiceDefinition service, ServiceCall serviceCall) {
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

  private Option<Problem> open(Call call, CallerReply reply, EntryEvent event) {
    if (!openRequests.add(call.request(), reply)) {
      return Option.some(
          Problem.notRunRetry(
              ProblemType.OVERLOADED, "the entry has too many open requests", RETRY_AFTER_MILLIS));
    }
    Option<CallerChannel> channel = CallerChannel.of(call.context());
    channel.forEach(CallerChannel::occupy);
    events.accept(event);
    channel.forEach(caller -> caller.onClosed(() -> openRequests.abandon(call.request())));
    return Option.none();
  }

  private long deadlineNanos(long deadlineMillis) {
    return clockNanos.getAsLong() + TimeUnit.MILLISECONDS.toNanos(deadlineMillis);
  }

  private static Problem bad(String detail) {
    return Problem.notRun(ProblemType.BAD_REQUEST, detail);
  }
}
