package io.zinniawood.wire.internal;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.Fence;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.id.IdempotencyKey;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.CancelOutcome;
import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.Idempotency;
import io.zinniawood.core.model.OrderOutcome;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.Priority;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.model.ServingState;
import io.zinniawood.wire.WireError;
import io.zinniawood.wire.generated.WireProto;
import io.zinniawood.wire.generated.WireProto.Envelope;

/** Decodes envelopes into messages. */
final class MessageDecoder {
  private MessageDecoder() {}

  /** Decodes an envelope; returns an error if a field is missing or out of range. */
  static Either<WireError, Message> decode(Envelope envelope) {
    try {
      return Either.right(message(envelope));
    } catch (DecodeException | IllegalArgumentException invalid) {
      return Either.left(
          new WireError(
              "invalid %s message: %s".formatted(envelope.getBodyCase(), invalid.getMessage())));
    }
  }

  private static Message message(Envelope envelope) {
    switch (envelope.getBodyCase()) {
      case STATUS:
        return status(envelope.getStatus());
      case DISPATCH:
        return dispatch(envelope.getDispatch());
      case DISPATCH_REPLY:
        return dispatchReply(envelope.getDispatchReply());
      case DISPATCH_REFUSED:
        return dispatchRefused(envelope.getDispatchRefused());
      case CANCEL_DISPATCH:
        return cancelDispatch(envelope.getCancelDispatch());
      case CANCEL_RESULT:
        return cancelResult(envelope.getCancelResult());
      case ORDER:
        return order(envelope.getOrder());
      case ORDER_RESULT:
        return orderResult(envelope.getOrderResult());
      case CONFIGURATION_REQUEST:
        return new Message.ConfigurationRequest(
            new Generation(envelope.getConfigurationRequest().getKnown()));
      case CONFIGURATION_SNAPSHOT:
        return configurationSnapshot(envelope.getConfigurationSnapshot());
      case VM_LIST_SNAPSHOT:
        return vmListSnapshot(envelope.getVmListSnapshot());
      case OBJECTIVE_COUNTS:
        return objectiveCounts(envelope.getObjectiveCounts());
      default:
        return sessionMessage(envelope);
    }
  }

  private static Message sessionMessage(Envelope envelope) {
    switch (envelope.getBodyCase()) {
      case OPEN_SESSION:
        return openSession(envelope.getOpenSession());
      case SESSION_OPENED:
        return sessionOpened(envelope.getSessionOpened());
      case SESSION_REFUSED:
        return sessionRefused(envelope.getSessionRefused());
      case STEP_INPUT:
        return stepInput(envelope.getStepInput());
      case ACTIVATION:
        return activation(envelope.getActivation());
      case TOKEN:
        return token(envelope.getToken());
      case STAGE_FAILED:
        return stageFailed(envelope.getStageFailed());
      case REPLAY:
        return replay(envelope.getReplay());
      case CLOSE_SESSION:
        return new Message.CloseSession(new SessionId(envelope.getCloseSession().getSession()));
      case CACHE_REQUEST:
        return new Message.CacheRequest(new SessionId(envelope.getCacheRequest().getSession()));
      case CACHE_SNAPSHOT:
        return cacheSnapshot(envelope.getCacheSnapshot());
      default:
        throw new DecodeException("body is not set or has an unknown type");
    }
  }

  private static Message status(WireProto.Status status) {
    return new Message.Status(
        EnumCodec.decode(ServingState.class, status.getState()),
        ValueDecoder.capability(status.getCapability()),
        ValueDecoder.load(status.getLoad()));
  }

  private static Message dispatch(WireProto.Dispatch dispatch) {
    return new Message.Dispatch(
        new RequestId(dispatch.getRequest()),
        new AttemptId(dispatch.getAttempt()),
        new Incarnation(dispatch.getIncarnation()),
        new ClientAccountId(dispatch.getClientAccount()),
        new ServiceName(dispatch.getService()),
        ValueDecoder.call(dispatch.getCall()),
        EnumCodec.decode(Idempotency.class, dispatch.getIdempotency()),
        Option.when(dispatch.hasKey(), () -> new IdempotencyKey(dispatch.getKey())),
        new Fence(dispatch.getFence()),
        dispatch.getRemainingMillis(),
        dispatch.getWeight());
  }

  private static Message dispatchReply(WireProto.DispatchReply reply) {
    return new Message.DispatchReply(
        new RequestId(reply.getRequest()),
        new AttemptId(reply.getAttempt()),
        ValueDecoder.answer(reply.getAnswer()),
        ValueDecoder.load(reply.getLoad()));
  }

  private static Message dispatchRefused(WireProto.DispatchRefused refused) {
    return new Message.DispatchRefused(
        new RequestId(refused.getRequest()),
        new AttemptId(refused.getAttempt()),
        EnumCodec.decode(RefusalReason.class, refused.getReason()),
        EnumCodec.decode(Outcome.class, refused.getOutcome()),
        Option.when(refused.hasClaim(), () -> ValueDecoder.claim(refused.getClaim())));
  }

  private static Message cancelDispatch(WireProto.CancelDispatch cancel) {
    return new Message.CancelDispatch(
        new RequestId(cancel.getRequest()), new AttemptId(cancel.getAttempt()));
  }

  private static Message cancelResult(WireProto.CancelResult result) {
    return new Message.CancelResult(
        new RequestId(result.getRequest()),
        new AttemptId(result.getAttempt()),
        EnumCodec.decode(CancelOutcome.class, result.getOutcome()));
  }

  private static Message openSession(WireProto.OpenSession open) {
    return new Message.OpenSession(
        new SessionId(open.getSession()),
        new Epoch(open.getEpoch()),
        new Incarnation(open.getIncarnation()),
        new ClientAccountId(open.getClientAccount()),
        new ModelId(open.getModel()),
        Vector.ofAll(open.getChainList()).map(ValueDecoder::stage),
        open.getStageIndex(),
        open.getMaxTokens(),
        EnumCodec.decode(Priority.class, open.getPriority()),
        open.getRemainingMillis(),
        open.getWeight(),
        open.getRebuildPositions(),
        Option.when(open.hasImportFrom(), () -> ValueDecoder.address(open.getImportFrom())));
  }

  private static Message sessionOpened(WireProto.SessionOpened opened) {
    return new Message.SessionOpened(
        new SessionId(opened.getSession()),
        new Epoch(opened.getEpoch()),
        opened.getStageIndex(),
        opened.getNextPosition());
  }

  private static Message sessionRefused(WireProto.SessionRefused refused) {
    return new Message.SessionRefused(
        new SessionId(refused.getSession()),
        new Epoch(refused.getEpoch()),
        refused.getStageIndex(),
        EnumCodec.decode(RefusalReason.class, refused.getReason()));
  }

  private static Message stepInput(WireProto.Frame frame) {
    return new Message.StepInput(
        new SessionId(frame.getSession()),
        new Epoch(frame.getEpoch()),
        frame.getPosition(),
        ValueDecoder.payload(frame.getPayload()));
  }

  private static Message activation(WireProto.Frame frame) {
    return new Message.Activation(
        new SessionId(frame.getSession()),
        new Epoch(frame.getEpoch()),
        frame.getPosition(),
        ValueDecoder.payload(frame.getPayload()));
  }

  private static Message token(WireProto.Token token) {
    Option<FinishReason> finish =
        token.getFinish() == WireProto.FinishReason.Kind.UNSPECIFIED
            ? Option.none()
            : Option.some(EnumCodec.decode(FinishReason.class, token.getFinish()));
    return new Message.Token(
        new SessionId(token.getSession()),
        new Epoch(token.getEpoch()),
        token.getPosition(),
        token.getText(),
        finish);
  }

  private static Message stageFailed(WireProto.StageFailed failed) {
    return new Message.StageFailed(
        new SessionId(failed.getSession()),
        new Epoch(failed.getEpoch()),
        failed.getStageIndex(),
        EnumCodec.decode(RefusalReason.class, failed.getReason()));
  }

  private static Message replay(WireProto.Replay replay) {
    return new Message.Replay(
        new SessionId(replay.getSession()),
        new Epoch(replay.getEpoch()),
        replay.getFromPosition(),
        replay.getToPositionExclusive());
  }

  private static Message cacheSnapshot(WireProto.CacheSnapshot snapshot) {
    return new Message.CacheSnapshot(
        new SessionId(snapshot.getSession()),
        snapshot.getNextPosition(),
        Option.when(snapshot.hasCache(), () -> ValueDecoder.payload(snapshot.getCache())),
        Vector.ofAll(snapshot.getKeptOutputsList()).map(ValueDecoder::payload));
  }

  private static Message order(WireProto.Order order) {
    return new Message.Order(
        new AttemptId(order.getOrder()),
        new FencingNumber(order.getFencingNumber()),
        ValueDecoder.action(order));
  }

  private static Message orderResult(WireProto.OrderResult result) {
    return new Message.OrderResult(
        new AttemptId(result.getOrder()),
        EnumCodec.decode(OrderOutcome.class, result.getOutcome()),
        result.getDetail());
  }

  private static Message configurationSnapshot(WireProto.ConfigurationSnapshot snapshot) {
    return new Message.ConfigurationSnapshot(
        new Generation(snapshot.getGeneration()), ValueDecoder.payload(snapshot.getSnapshot()));
  }

  private static Message vmListSnapshot(WireProto.VmListSnapshot snapshot) {
    return new Message.VmListSnapshot(
        snapshot.getVersion(), Vector.ofAll(snapshot.getVmsList()).map(ValueDecoder::vm));
  }

  private static Message objectiveCounts(WireProto.ObjectiveCounts counts) {
    return new Message.ObjectiveCounts(
        counts.getSource(), counts.getSequence(), ValueDecoder.payload(counts.getCounts()));
  }
}
