package io.zinniawood.wire.internal;

import io.zinniawood.core.id.Generation;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.message.MessageVisitor;
import io.zinniawood.wire.generated.WireProto;
import io.zinniawood.wire.generated.WireProto.Envelope;

/** Encodes messages as envelopes. */
final class MessageEncoder implements MessageVisitor<Envelope.Builder> {
  private static final MessageEncoder INSTANCE = new MessageEncoder();

  private MessageEncoder() {}

  /** Encodes a message with the configuration generation of the sender. */
  static Envelope encode(Message message, Generation generation) {
    return message.accept(INSTANCE).setGeneration(generation.value()).build();
  }

  private static Envelope.Builder envelope() {
    return Envelope.newBuilder();
  }

  @Override
  public Envelope.Builder visitStatus(Message.Status message) {
    return envelope()
        .setStatus(
            WireProto.Status.newBuilder()
                .setState(EnumCodec.encode(WireProto.ServingState.Kind.class, message.state()))
                .setCapability(ValueEncoder.capability(message.capability()))
                .setLoad(ValueEncoder.load(message.load())));
  }

  @Override
  public Envelope.Builder visitDispatch(Message.Dispatch message) {
    WireProto.Dispatch.Builder builder =
        WireProto.Dispatch.newBuilder()
            .setRequest(message.request().value())
            .setAttempt(message.attempt().value())
            .setIncarnation(message.incarnation().value())
            .setClientAccount(message.clientAccount().value())
            .setService(message.service().value())
            .setCall(ValueEncoder.call(message.call()))
            .setIdempotency(
                EnumCodec.encode(WireProto.Idempotency.Kind.class, message.idempotency()))
            .setFence(message.fence().value())
            .setRemainingMillis(Math.max(0, message.remainingMillis()))
            .setWeight(message.weight());
    message.key().forEach(key -> builder.setKey(key.value()));
    return envelope().setDispatch(builder);
  }

  @Override
  public Envelope.Builder visitDispatchReply(Message.DispatchReply message) {
    return envelope()
        .setDispatchReply(
            WireProto.DispatchReply.newBuilder()
                .setRequest(message.request().value())
                .setAttempt(message.attempt().value())
                .setAnswer(ValueEncoder.answer(message.answer()))
                .setLoad(ValueEncoder.load(message.load())));
  }

  @Override
  public Envelope.Builder visitDispatchRefused(Message.DispatchRefused message) {
    WireProto.DispatchRefused.Builder builder =
        WireProto.DispatchRefused.newBuilder()
            .setRequest(message.request().value())
            .setAttempt(message.attempt().value())
            .setReason(EnumCodec.encode(WireProto.RefusalReason.Kind.class, message.reason()))
            .setOutcome(EnumCodec.encode(WireProto.Outcome.Kind.class, message.outcome()));
    message.claim().forEach(row -> builder.setClaim(ValueEncoder.claim(row)));
    return envelope().setDispatchRefused(builder);
  }

  @Override
  public Envelope.Builder visitCancelDispatch(Message.CancelDispatch message) {
    return envelope()
        .setCancelDispatch(
            WireProto.CancelDispatch.newBuilder()
                .setRequest(message.request().value())
                .setAttempt(message.attempt().value()));
  }

  @Override
  public Envelope.Builder visitCancelResult(Message.CancelResult message) {
    return envelope()
        .setCancelResult(
            WireProto.CancelResult.newBuilder()
                .setRequest(message.request().value())
                .setAttempt(message.attempt().value())
                .setOutcome(
                    EnumCodec.encode(WireProto.CancelOutcome.Kind.class, message.outcome())));
  }

  @Override
  public Envelope.Builder visitOpenSession(Message.OpenSession message) {
    WireProto.OpenSession.Builder builder =
        WireProto.OpenSession.newBuilder()
            .setSession(message.session().value())
            .setEpoch(message.epoch().value())
            .setIncarnation(message.incarnation().value())
            .setClientAccount(message.clientAccount().value())
            .setModel(message.model().value())
            .addAllChain(message.chain().map(ValueEncoder::stage))
            .setStageIndex(message.stageIndex())
            .setMaxTokens(message.maxTokens())
            .setPriority(EnumCodec.encode(WireProto.Priority.Kind.class, message.priority()))
            .setRemainingMillis(Math.max(0, message.remainingMillis()))
            .setWeight(message.weight())
            .setRebuildPositions(message.rebuildPositions());
    message.importFrom().forEach(from -> builder.setImportFrom(ValueEncoder.address(from)));
    return envelope().setOpenSession(builder);
  }

  @Override
  public Envelope.Builder visitSessionOpened(Message.SessionOpened message) {
    return envelope()
        .setSessionOpened(
            WireProto.SessionOpened.newBuilder()
                .setSession(message.session().value())
                .setEpoch(message.epoch().value())
                .setStageIndex(message.stageIndex())
                .setNextPosition(message.nextPosition()));
  }

  @Override
  public Envelope.Builder visitSessionRefused(Message.SessionRefused message) {
    return envelope()
        .setSessionRefused(
            WireProto.SessionRefused.newBuilder()
                .setSession(message.session().value())
                .setEpoch(message.epoch().value())
                .setStageIndex(message.stageIndex())
                .setReason(EnumCodec.encode(WireProto.RefusalReason.Kind.class, message.reason())));
  }

  @Override
  public Envelope.Builder visitStepInput(Message.StepInput message) {
    return envelope()
        .setStepInput(
            WireProto.Frame.newBuilder()
                .setSession(message.session().value())
                .setEpoch(message.epoch().value())
                .setPosition(message.position())
                .setPayload(ValueEncoder.bytes(message.input())));
  }

  @Override
  public Envelope.Builder visitActivation(Message.Activation message) {
    return envelope()
        .setActivation(
            WireProto.Frame.newBuilder()
                .setSession(message.session().value())
                .setEpoch(message.epoch().value())
                .setPosition(message.position())
                .setPayload(ValueEncoder.bytes(message.payload())));
  }

  @Override
  public Envelope.Builder visitToken(Message.Token message) {
    WireProto.Token.Builder builder =
        WireProto.Token.newBuilder()
            .setSession(message.session().value())
            .setEpoch(message.epoch().value())
            .setPosition(message.position())
            .setText(message.text());
    message
        .finish()
        .forEach(
            reason ->
                builder.setFinish(EnumCodec.encode(WireProto.FinishReason.Kind.class, reason)));
    return envelope().setToken(builder);
  }

  @Override
  public Envelope.Builder visitStageFailed(Message.StageFailed message) {
    return envelope()
        .setStageFailed(
            WireProto.StageFailed.newBuilder()
                .setSession(message.session().value())
                .setEpoch(message.epoch().value())
                .setStageIndex(message.stageIndex())
                .setReason(EnumCodec.encode(WireProto.RefusalReason.Kind.class, message.reason())));
  }

  @Override
  public Envelope.Builder visitReplay(Message.Replay message) {
    return envelope()
        .setReplay(
            WireProto.Replay.newBuilder()
                .setSession(message.session().value())
                .setEpoch(message.epoch().value())
                .setFromPosition(message.fromPosition())
                .setToPositionExclusive(message.toPositionExclusive()));
  }

  @Override
  public Envelope.Builder visitCloseSession(Message.CloseSession message) {
    return envelope()
        .setCloseSession(WireProto.CloseSession.newBuilder().setSession(message.session().value()));
  }

  @Override
  public Envelope.Builder visitCacheRequest(Message.CacheRequest message) {
    return envelope()
        .setCacheRequest(WireProto.CacheRequest.newBuilder().setSession(message.session().value()));
  }

  @Override
  public Envelope.Builder visitCacheSnapshot(Message.CacheSnapshot message) {
    WireProto.CacheSnapshot.Builder builder =
        WireProto.CacheSnapshot.newBuilder()
            .setSession(message.session().value())
            .setNextPosition(message.nextPosition())
            .addAllKeptOutputs(message.keptOutputs().map(ValueEncoder::bytes));
    message.cache().forEach(cache -> builder.setCache(ValueEncoder.bytes(cache)));
    return envelope().setCacheSnapshot(builder);
  }

  @Override
  public Envelope.Builder visitOrder(Message.Order message) {
    WireProto.Order.Builder builder =
        WireProto.Order.newBuilder()
            .setOrder(message.order().value())
            .setFencingNumber(message.fencingNumber().value());
    ValueEncoder.action(message.action(), builder);
    return envelope().setOrder(builder);
  }

  @Override
  public Envelope.Builder visitOrderResult(Message.OrderResult message) {
    return envelope()
        .setOrderResult(
            WireProto.OrderResult.newBuilder()
                .setOrder(message.order().value())
                .setOutcome(EnumCodec.encode(WireProto.OrderOutcome.Kind.class, message.outcome()))
                .setDetail(message.detail()));
  }

  @Override
  public Envelope.Builder visitConfigurationRequest(Message.ConfigurationRequest message) {
    return envelope()
        .setConfigurationRequest(
            WireProto.ConfigurationRequest.newBuilder().setKnown(message.known().value()));
  }

  @Override
  public Envelope.Builder visitConfigurationSnapshot(Message.ConfigurationSnapshot message) {
    return envelope()
        .setConfigurationSnapshot(
            WireProto.ConfigurationSnapshot.newBuilder()
                .setGeneration(message.generation().value())
                .setSnapshot(ValueEncoder.bytes(message.snapshot())));
  }

  @Override
  public Envelope.Builder visitVmListSnapshot(Message.VmListSnapshot message) {
    return envelope()
        .setVmListSnapshot(
            WireProto.VmListSnapshot.newBuilder()
                .setVersion(message.version())
                .addAllVms(message.vms().map(ValueEncoder::vm)));
  }

  @Override
  public Envelope.Builder visitObjectiveCounts(Message.ObjectiveCounts message) {
    return envelope()
        .setObjectiveCounts(
            WireProto.ObjectiveCounts.newBuilder()
                .setSource(message.source())
                .setSequence(message.sequence())
                .setCounts(ValueEncoder.bytes(message.counts())));
  }
}
