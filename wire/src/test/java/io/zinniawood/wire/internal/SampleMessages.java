package io.zinniawood.wire.internal;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.AcceleratorKind;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.Fence;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.id.IdempotencyKey;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.id.PoolId;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.CancelOutcome;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.ClaimRow;
import io.zinniawood.core.model.ClaimState;
import io.zinniawood.core.model.EngineOrder;
import io.zinniawood.core.model.EngineRole;
import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.HttpHeader;
import io.zinniawood.core.model.Idempotency;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.LoadReport;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.OrderOutcome;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.Priority;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.core.model.ServiceCall;
import io.zinniawood.core.model.ServingState;
import io.zinniawood.core.model.StageAddress;
import io.zinniawood.core.model.VmEntry;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.core.model.VmState;

/** At least one message of each type, with each optional part present and absent. */
final class SampleMessages {
  private static final RequestId REQUEST = new RequestId("r-1");
  private static final AttemptId ATTEMPT = new AttemptId("a-1");
  private static final SessionId SESSION = new SessionId("s-1");
  private static final Epoch EPOCH = new Epoch(2);
  private static final NodeAddress ADDRESS = new NodeAddress("127.0.0.1", 9000);
  private static final LayerRange LAYERS = new LayerRange(8, 16);
  private static final Payload BODY = Payload.wrap(new byte[] {0, 1, -1, 127});
  private static final Vector<HttpHeader> HEADERS =
      Vector.of(new HttpHeader("content-type", "application/json"));
  private static final ServiceAnswer ANSWER = new ServiceAnswer(201, HEADERS, BODY);

  private SampleMessages() {}

  static Vector<Message> all() {
    return services().appendAll(sessions()).appendAll(control());
  }

  private static Vector<Message> services() {
    ServiceCall call = new ServiceCall("POST", "/credits?x=1", HEADERS, BODY);
    ClaimRow row =
        new ClaimRow(
            new EndpointId("e-1"),
            new Incarnation(-5),
            ATTEMPT,
            "abc",
            ClaimState.FINISHED,
            new Fence(3),
            Option.some(ANSWER));
    return Vector.of(
        new Message.Status(
            ServingState.LEAVING,
            new Capability.PlainService(new ServiceName("credit"), 8),
            new LoadReport(1, 2, 3, 4.5)),
        new Message.Dispatch(
            REQUEST,
            ATTEMPT,
            new Incarnation(Long.MIN_VALUE),
            new ClientAccountId("c"),
            new ServiceName("credit"),
            call,
            Idempotency.NON_IDEMPOTENT,
            Option.some(new IdempotencyKey("k")),
            new Fence(1),
            1_500,
            4),
        new Message.DispatchReply(REQUEST, ATTEMPT, ANSWER, LoadReport.idle(2)),
        new Message.DispatchRefused(
            REQUEST, ATTEMPT, RefusalReason.CLAIMED_BY_OTHER, Outcome.NOT_RUN, Option.some(row)),
        new Message.DispatchRefused(
            REQUEST, ATTEMPT, RefusalReason.LEAVING, Outcome.NOT_RUN, Option.none()),
        new Message.CancelDispatch(REQUEST, ATTEMPT),
        new Message.CancelResult(REQUEST, ATTEMPT, CancelOutcome.NOT_STARTED));
  }

  private static Vector<Message> sessions() {
    StageAddress stage =
        new StageAddress(new EndpointId("e-1"), new Incarnation(7), ADDRESS, LAYERS);
    return Vector.of(
        new Message.OpenSession(
            SESSION,
            EPOCH,
            new Incarnation(7),
            new ClientAccountId("c"),
            new ModelId("m"),
            Vector.of(stage, stage),
            1,
            64,
            Priority.BATCH,
            900,
            1,
            3,
            Option.some(ADDRESS)),
        new Message.SessionOpened(SESSION, EPOCH, 1, 4),
        new Message.SessionRefused(SESSION, EPOCH, 1, RefusalReason.NOT_SERVED),
        new Message.StepInput(SESSION, EPOCH, 0, BODY),
        new Message.Activation(SESSION, EPOCH, 5, Payload.empty()),
        new Message.Token(SESSION, EPOCH, 5, " grün", Option.none()),
        new Message.Token(SESSION, EPOCH, 6, "", Option.some(FinishReason.LENGTH)),
        new Message.StageFailed(SESSION, EPOCH, 2, RefusalReason.PEER_UNREACHABLE),
        new Message.Replay(SESSION, EPOCH, 0, 6),
        new Message.CloseSession(SESSION),
        new Message.CacheRequest(SESSION),
        new Message.CacheSnapshot(SESSION, 6, Option.some(BODY), Vector.of(BODY, BODY)),
        new Message.CacheSnapshot(SESSION, 0, Option.none(), Vector.empty()));
  }

  private static Vector<Message> control() {
    Capability stage =
        new Capability.ModelStage(
            new ModelId("m"), LAYERS, new AcceleratorKind("large"), 120.5, 32);
    VmEntry vm =
        new VmEntry(
            new VmId("v"),
            VmRole.ENDPOINT,
            VmState.LEAVING,
            new DataCentreId("tampere"),
            new PoolId("p"),
            ADDRESS);
    return Vector.of(
        new Message.Status(ServingState.SERVING, stage, LoadReport.idle(1)),
        new Message.Order(
            ATTEMPT,
            new FencingNumber(9),
            new EngineOrder.LoadModel(new ModelId("m"), "v2", LAYERS)),
        new Message.Order(
            ATTEMPT, new FencingNumber(9), new EngineOrder.LoadAdapter(new ModelId("m"), "a")),
        new Message.Order(
            ATTEMPT, new FencingNumber(9), new EngineOrder.ChangeRole(EngineRole.PREFILL)),
        new Message.OrderResult(ATTEMPT, OrderOutcome.STALE_FENCING_NUMBER, "older than 10"),
        new Message.ConfigurationRequest(new Generation(3)),
        new Message.ConfigurationSnapshot(new Generation(4), BODY),
        new Message.VmListSnapshot(12, Vector.of(vm)),
        new Message.ObjectiveCounts("entry-1", 77, BODY));
  }
}
