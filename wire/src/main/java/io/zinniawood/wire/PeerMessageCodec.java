package io.zinniawood.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.util.NetUtil;
import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.id.AcceleratorKind;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.EndpointIncarnation;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.id.StoreEra;
import io.zinniawood.core.id.StoreVersion;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.relay.LeaseNotice;
import io.zinniawood.core.relay.PeerMessage;
import io.zinniawood.core.relay.SharedRead;
import io.zinniawood.wire.generated.RelayProto;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Encodes and decodes the datagrams between relays; {@code relay.proto} describes them. */
public final class PeerMessageCodec {
  private PeerMessageCodec() {}

  /** Returns the bytes of a message. */
  public static byte[] encode(PeerMessage message) {
    RelayProto.PeerMessage.Builder builder =
        RelayProto.PeerMessage.newBuilder()
            .setVm(message.vm().value())
            .setStoreEra(message.storeEra().value())
            .setStoreAvailable(message.storeAvailable())
            .setStoreSteadyMillis((int) Math.min(Integer.MAX_VALUE, message.storeSteadyMillis()))
            .setRoutesVersion(message.routesVersion())
            .setRoutesAgeMillis((int) Math.min(Integer.MAX_VALUE, message.routesAgeMillis()));
    message
        .lease()
        .ifPresent(
            lease ->
                builder.setLease(
                    RelayProto.LeaseNotice.newBuilder()
                        .setFencingNumber(lease.fencingNumber().value())
                        .setRenewals(lease.renewals())
                        .setRowVersion(lease.rowVersion().number())));
    message.read().ifPresent(read -> builder.setRead(encodeRead(read)));
    if (!message.quarantine().isEmpty()) {
      builder.setQuarantine(QuarantineNoticeCodec.encode(message.quarantine()));
    }
    for (EndpointIncarnation leaving : message.leaving()) {
      builder.addLeaving(
          RelayProto.LeavingEndpoint.newBuilder()
              .setEndpoint(leaving.endpoint().value())
              .setStartedMillis(leaving.startedMillis()));
    }
    builder.setLimits(LimitNoticeCodec.encode(message.limits()));
    if (!message.load().isEmpty()) {
      builder.setLoad(LoadNoticeCodec.encode(message.load()));
    }
    return builder.build().toByteArray();
  }

  private static RelayProto.SharedRead encodeRead(SharedRead read) {
    RelayProto.SharedRead.Builder builder =
        RelayProto.SharedRead.newBuilder()
            .setAfterVersion(read.afterVersion().number())
            .setVersion(read.version().number())
            .setStoreMillis(read.storeMillis());
    for (FleetEndpoint endpoint : read.changed()) {
      builder.addChanged(encodeEndpoint(endpoint));
    }
    for (SharedRead.Heartbeat heartbeat : read.heartbeats()) {
      builder.addHeartbeats(
          RelayProto.Heartbeat.newBuilder()
              .setId(heartbeat.endpoint().value())
              .setSequence(heartbeat.sequence())
              .setRowVersion(heartbeat.rowVersion().number())
              .setContentHash(heartbeat.contentHash()));
    }
    for (EndpointId removed : read.removed()) {
      builder.addRemoved(removed.value());
    }
    return builder.build();
  }

  private static RelayProto.Endpoint encodeEndpoint(FleetEndpoint endpoint) {
    RelayProto.Endpoint.Builder builder =
        RelayProto.Endpoint.newBuilder()
            .setId(endpoint.id().value())
            .setService(endpoint.service().value())
            .setHost(endpoint.address().host())
            .setPort(endpoint.address().port())
            .setDataCentre(endpoint.dataCentre().value())
            .setSlots(endpoint.slots())
            .setDraining(endpoint.draining())
            .setStartedMillis(endpoint.startedMillis())
            .setSequence(endpoint.sequence())
            .setRowVersion(endpoint.rowVersion().number());
    endpoint.accelerator().ifPresent(kind -> builder.setAccelerator(kind.value()));
    endpoint
        .layers()
        .ifPresent(
            layers ->
                builder
                    .setFromLayer(layers.fromLayer())
                    .setToLayerExclusive(layers.toLayerExclusive()));
    return builder.build();
  }

  /** Decodes a datagram; returns empty if it is no valid message. */
  public static Optional<PeerMessage> decode(byte[] bytes) {
    try {
      RelayProto.PeerMessage message = RelayProto.PeerMessage.parseFrom(bytes);
      StoreEra era = new StoreEra(message.getStoreEra());
      return Optional.of(
          new PeerMessage(
              new VmId(message.getVm()),
              era,
              message.getStoreAvailable(),
              Integer.toUnsignedLong(message.getStoreSteadyMillis()),
              message.getRoutesVersion(),
              Integer.toUnsignedLong(message.getRoutesAgeMillis()),
              message.hasLease()
                  ? Optional.of(
                      new LeaseNotice(
                          new FencingNumber(message.getLease().getFencingNumber()),
                          message.getLease().getRenewals(),
                          new StoreVersion(era, message.getLease().getRowVersion())))
                  : Optional.empty(),
              message.hasRead()
                  ? Optional.of(decodeRead(era, message.getRead()))
                  : Optional.empty(),
              QuarantineNoticeCodec.decode(message.getQuarantine()),
              decodeLeaving(message),
              LimitNoticeCodec.decode(message.getLimits()),
              LoadNoticeCodec.decode(message.getLoad())));
    } catch (InvalidProtocolBufferException | IllegalArgumentException invalid) {
      return Optional.empty();
    }
  }

  private static List<EndpointIncarnation> decodeLeaving(RelayProto.PeerMessage message) {
    List<EndpointIncarnation> leaving = new ArrayList<>();
    for (RelayProto.LeavingEndpoint endpoint : message.getLeavingList()) {
      leaving.add(
          new EndpointIncarnation(
              new EndpointId(endpoint.getEndpoint()), endpoint.getStartedMillis()));
    }
    return leaving;
  }

  private static SharedRead decodeRead(StoreEra era, RelayProto.SharedRead read) {
    List<FleetEndpoint> changed = new ArrayList<>();
    for (RelayProto.Endpoint endpoint : read.getChangedList()) {
      changed.add(decodeEndpoint(era, endpoint));
    }
    List<SharedRead.Heartbeat> heartbeats = new ArrayList<>();
    for (RelayProto.Heartbeat heartbeat : read.getHeartbeatsList()) {
      heartbeats.add(
          new SharedRead.Heartbeat(
              new EndpointId(heartbeat.getId()),
              heartbeat.getSequence(),
              new StoreVersion(era, heartbeat.getRowVersion()),
              heartbeat.getContentHash()));
    }
    List<EndpointId> removed = new ArrayList<>();
    for (String id : read.getRemovedList()) {
      removed.add(new EndpointId(id));
    }
    return new SharedRead(
        new StoreVersion(era, read.getAfterVersion()),
        new StoreVersion(era, read.getVersion()),
        read.getStoreMillis(),
        changed,
        heartbeats,
        removed);
  }

  private static FleetEndpoint decodeEndpoint(StoreEra era, RelayProto.Endpoint endpoint) {
    if (!NetUtil.isValidIpV4Address(endpoint.getHost())) {
      throw new IllegalArgumentException(
          "endpoint %s: expected an IPv4 address, found %s"
              .formatted(endpoint.getId(), endpoint.getHost()));
    }
    return new FleetEndpoint(
        new EndpointId(endpoint.getId()),
        new ServiceName(endpoint.getService()),
        new NodeAddress(endpoint.getHost(), endpoint.getPort()),
        new DataCentreId(endpoint.getDataCentre()),
        endpoint.getSlots(),
        endpoint.getDraining(),
        endpoint.getAccelerator().isEmpty()
            ? Optional.empty()
            : Optional.of(new AcceleratorKind(endpoint.getAccelerator())),
        endpoint.getToLayerExclusive() == 0
            ? Optional.empty()
            : Optional.of(new LayerRange(endpoint.getFromLayer(), endpoint.getToLayerExclusive())),
        endpoint.getStartedMillis(),
        endpoint.getSequence(),
        new StoreVersion(era, endpoint.getRowVersion()));
  }
}
