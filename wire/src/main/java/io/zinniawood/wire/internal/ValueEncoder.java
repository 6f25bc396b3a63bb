package io.zinniawood.wire.internal;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.vavr.collection.Vector;
import io.zinniawood.core.model.AgentIdentity;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.ClaimRow;
import io.zinniawood.core.model.EngineOrder;
import io.zinniawood.core.model.HttpHeader;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.LoadReport;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.core.model.ServiceCall;
import io.zinniawood.core.model.StageAddress;
import io.zinniawood.core.model.VmEntry;
import io.zinniawood.wire.generated.WireProto;

/** Encodes the values that are parts of messages. */
final class ValueEncoder {
  private ValueEncoder() {}

  static ByteString bytes(Payload payload) {
    return UnsafeByteOperations.unsafeWrap(payload.bytes());
  }

  static WireProto.NodeAddress address(NodeAddress address) {
    return WireProto.NodeAddress.newBuilder()
        .setHost(address.host())
        .setPort(address.port())
        .build();
  }

  static WireProto.AgentIdentity agent(AgentIdentity agent) {
    return WireProto.AgentIdentity.newBuilder()
        .setEndpoint(agent.endpoint().value())
        .setIncarnation(agent.incarnation().value())
        .setDataCentre(agent.dataCentre().value())
        .setPool(agent.pool().value())
        .setAddress(address(agent.address()))
        .build();
  }

  static WireProto.LayerRange layers(LayerRange layers) {
    return WireProto.LayerRange.newBuilder()
        .setFromLayer(layers.fromLayer())
        .setToLayerExclusive(layers.toLayerExclusive())
        .build();
  }

  static WireProto.Capability capability(Capability capability) {
    WireProto.Capability.Builder builder = WireProto.Capability.newBuilder();
    if (capability instanceof Capability.ModelStage stage) {
      builder.setModelStage(
          WireProto.ModelStage.newBuilder()
              .setModel(stage.model().value())
              .setLayers(layers(stage.layers()))
              .setAccelerator(stage.accelerator().value())
              .setTokensPerSecond(stage.tokensPerSecond())
              .setMaxSessions(stage.maxSessions()));
    } else if (capability instanceof Capability.PlainService service) {
      builder.setPlainService(
          WireProto.PlainService.newBuilder()
              .setService(service.service().value())
              .setMaxConcurrent(service.maxConcurrent()));
    }
    return builder.build();
  }

  static WireProto.LoadReport load(LoadReport load) {
    return WireProto.LoadReport.newBuilder()
        .setRunning(load.running())
        .setQueued(load.queued())
        .setConcurrencyLimit(load.concurrencyLimit())
        .setTokensPerSecond(load.tokensPerSecond())
        .build();
  }

  private static Vector<WireProto.HttpHeader> headers(Vector<HttpHeader> headers) {
    return headers.map(
        header ->
            WireProto.HttpHeader.newBuilder()
                .setName(header.name())
                .setValue(header.value())
                .build());
  }

  static WireProto.ServiceCall call(ServiceCall call) {
    return WireProto.ServiceCall.newBuilder()
        .setMethod(call.method())
        .setPathAndQuery(call.pathAndQuery())
        .addAllHeaders(headers(call.headers()))
        .setBody(bytes(call.body()))
        .build();
  }

  static WireProto.ServiceAnswer answer(ServiceAnswer answer) {
    return WireProto.ServiceAnswer.newBuilder()
        .setStatus(answer.status())
        .addAllHeaders(headers(answer.headers()))
        .setBody(bytes(answer.body()))
        .build();
  }

  static WireProto.ClaimRow claim(ClaimRow row) {
    WireProto.ClaimRow.Builder builder =
        WireProto.ClaimRow.newBuilder()
            .setOwner(row.owner().value())
            .setIncarnation(row.incarnation().value())
            .setAttempt(row.attempt().value())
            .setRequestDigest(row.requestDigest())
            .setState(EnumCodec.encode(WireProto.ClaimState.Kind.class, row.state()))
            .setFence(row.fence().value());
    row.answer().forEach(answer -> builder.setAnswer(answer(answer)));
    return builder.build();
  }

  static WireProto.StageAddress stage(StageAddress stage) {
    return WireProto.StageAddress.newBuilder()
        .setEndpoint(stage.endpoint().value())
        .setIncarnation(stage.incarnation().value())
        .setAddress(address(stage.address()))
        .setLayers(layers(stage.layers()))
        .build();
  }

  static WireProto.VmEntry vm(VmEntry vm) {
    return WireProto.VmEntry.newBuilder()
        .setVm(vm.vm().value())
        .setRole(EnumCodec.encode(WireProto.VmRole.Kind.class, vm.role()))
        .setState(EnumCodec.encode(WireProto.VmState.Kind.class, vm.state()))
        .setDataCentre(vm.dataCentre().value())
        .setPool(vm.pool().value())
        .setAddress(address(vm.address()))
        .build();
  }

  static void action(EngineOrder action, WireProto.Order.Builder builder) {
    if (action instanceof EngineOrder.LoadModel load) {
      builder.setLoadModel(
          WireProto.LoadModel.newBuilder()
              .setModel(load.model().value())
              .setVersion(load.version())
              .setLayers(layers(load.layers())));
    } else if (action instanceof EngineOrder.LoadAdapter load) {
      builder.setLoadAdapter(
          WireProto.LoadAdapter.newBuilder()
              .setModel(load.model().value())
              .setAdapter(load.adapter()));
    } else if (action instanceof EngineOrder.ChangeRole change) {
      builder.setChangeRole(
          WireProto.ChangeRole.newBuilder()
              .setRole(EnumCodec.encode(WireProto.EngineRole.Kind.class, change.role())));
    }
  }
}
