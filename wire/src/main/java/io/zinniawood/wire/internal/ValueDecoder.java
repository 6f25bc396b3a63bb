package io.zinniawood.wire.internal;

import com.google.protobuf.ByteString;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.AcceleratorKind;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Fence;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.id.PoolId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.AgentIdentity;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.ClaimRow;
import io.zinniawood.core.model.ClaimState;
import io.zinniawood.core.model.EngineOrder;
import io.zinniawood.core.model.EngineRole;
import io.zinniawood.core.model.HttpHeader;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.LoadReport;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.core.model.ServiceCall;
import io.zinniawood.core.model.StageAddress;
import io.zinniawood.core.model.VmEntry;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.core.model.VmState;
import io.zinniawood.wire.generated.WireProto;
import java.util.List;

/** Decodes the values that are parts of messages. */
final class ValueDecoder {
  private ValueDecoder() {}

  static Payload payload(ByteString bytes) {
    return Payload.wrap(bytes.toByteArray());
  }

  static NodeAddress address(WireProto.NodeAddress address) {
    return new NodeAddress(address.getHost(), address.getPort());
  }

  static AgentIdentity agent(WireProto.AgentIdentity agent) {
    return new AgentIdentity(
        new EndpointId(agent.getEndpoint()),
        new Incarnation(agent.getIncarnation()),
        new DataCentreId(agent.getDataCentre()),
        new PoolId(agent.getPool()),
        address(agent.getAddress()));
  }

  static LayerRange layers(WireProto.LayerRange layers) {
    return new LayerRange(layers.getFromLayer(), layers.getToLayerExclusive());
  }

  static Capability capability(WireProto.Capability capability) {
    switch (capability.getKindCase()) {
      case MODEL_STAGE:
        WireProto.ModelStage stage = capability.getModelStage();
        return new Capability.ModelStage(
            new ModelId(stage.getModel()),
            layers(stage.getLayers()),
            new AcceleratorKind(stage.getAccelerator()),
            stage.getTokensPerSecond(),
            stage.getMaxSessions());
      case PLAIN_SERVICE:
        WireProto.PlainService service = capability.getPlainService();
        return new Capability.PlainService(
            new ServiceName(service.getService()), service.getMaxConcurrent());
      default:
        throw new DecodeException("capability is not set or has an unknown type");
    }
  }

  static LoadReport load(WireProto.LoadReport load) {
    return new LoadReport(
        load.getRunning(), load.getQueued(), load.getConcurrencyLimit(), load.getTokensPerSecond());
  }

  private static Vector<HttpHeader> headers(List<WireProto.HttpHeader> headers) {
    return Vector.ofAll(headers).map(header -> new HttpHeader(header.getName(), header.getValue()));
  }

  static ServiceCall call(WireProto.ServiceCall call) {
    return new ServiceCall(
        call.getMethod(),
        call.getPathAndQuery(),
        headers(call.getHeadersList()),
        payload(call.getBody()));
  }

  static ServiceAnswer answer(WireProto.ServiceAnswer answer) {
    return new ServiceAnswer(
        answer.getStatus(), headers(answer.getHeadersList()), payload(answer.getBody()));
  }

  static ClaimRow claim(WireProto.ClaimRow row) {
    return new ClaimRow(
        new EndpointId(row.getOwner()),
        new Incarnation(row.getIncarnation()),
        new AttemptId(row.getAttempt()),
        row.getRequestDigest(),
        EnumCodec.decode(ClaimState.class, row.getState()),
        new Fence(row.getFence()),
        Option.when(row.hasAnswer(), () -> answer(row.getAnswer())));
  }

  static StageAddress stage(WireProto.StageAddress stage) {
    return new StageAddress(
        new EndpointId(stage.getEndpoint()),
        new Incarnation(stage.getIncarnation()),
        address(stage.getAddress()),
        layers(stage.getLayers()));
  }

  static VmEntry vm(WireProto.VmEntry vm) {
    return new VmEntry(
        new VmId(vm.getVm()),
        EnumCodec.decode(VmRole.class, vm.getRole()),
        EnumCodec.decode(VmState.class, vm.getState()),
        new DataCentreId(vm.getDataCentre()),
        new PoolId(vm.getPool()),
        address(vm.getAddress()));
  }

  static EngineOrder action(WireProto.Order order) {
    switch (order.getActionCase()) {
      case LOAD_MODEL:
        WireProto.LoadModel model = order.getLoadModel();
        return new EngineOrder.LoadModel(
            new ModelId(model.getModel()), model.getVersion(), layers(model.getLayers()));
      case LOAD_ADAPTER:
        WireProto.LoadAdapter adapter = order.getLoadAdapter();
        return new EngineOrder.LoadAdapter(new ModelId(adapter.getModel()), adapter.getAdapter());
      case CHANGE_ROLE:
        return new EngineOrder.ChangeRole(
            EnumCodec.decode(EngineRole.class, order.getChangeRole().getRole()));
      default:
        throw new DecodeException("action of the order is not set or has an unknown type");
    }
  }
}
