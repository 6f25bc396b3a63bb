package io.zinniawood.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.fleet.RemovedEntry;
import io.zinniawood.core.id.AcceleratorKind;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.EndpointIncarnation;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.id.PromptPartId;
import io.zinniawood.core.id.RequestFingerprint;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.id.StoreEra;
import io.zinniawood.core.id.StoreVersion;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.limit.EndpointLimits;
import io.zinniawood.core.limit.LimitEntry;
import io.zinniawood.core.limit.LimitNotice;
import io.zinniawood.core.limit.PermitGift;
import io.zinniawood.core.load.LoadNotice;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.quarantine.CrashCandidate;
import io.zinniawood.core.quarantine.CrashId;
import io.zinniawood.core.quarantine.CrashQuarantine;
import io.zinniawood.core.quarantine.CrashReport;
import io.zinniawood.core.quarantine.HeldSubjectNotice;
import io.zinniawood.core.quarantine.QuarantineNotice;
import io.zinniawood.core.quarantine.SoundSubjectNotice;
import io.zinniawood.core.quarantine.StartOrder;
import io.zinniawood.core.relay.LeaseNotice;
import io.zinniawood.core.relay.PeerMessage;
import io.zinniawood.core.relay.PresenceRow;
import io.zinniawood.core.relay.RelayEffect;
import io.zinniawood.core.relay.RelayEvent;
import io.zinniawood.core.relay.RelayParameters;
import io.zinniawood.core.relay.RelayReducer;
import io.zinniawood.core.relay.RelayState;
import io.zinniawood.core.relay.SchedulingSettings;
import io.zinniawood.core.relay.SharedRead;
import io.zinniawood.wire.generated.RelayProto;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class PeerMessageCodecTest {
  private static final StoreEra ERA = new StoreEra(3);

  private static StoreVersion version(long number) {
    return new StoreVersion(ERA, number);
  }

  private static FleetEndpoint endpoint(
      Optional<AcceleratorKind> accelerator, Optional<LayerRange> layers) {
    return endpoint(new EndpointId("i-0123456789"), accelerator, layers);
  }

  private static FleetEndpoint endpoint(
      EndpointId id, Optional<AcceleratorKind> accelerator, Optional<LayerRange> layers) {
    return new FleetEndpoint(
        id,
        new ServiceName("service"),
        new NodeAddress("10.1.64.12", 8_429),
        new DataCentreId("helsinki-a"),
        134,
        true,
        accelerator,
        layers,
        1_796_000_000_123L,
        42,
        version(1_234_567));
  }

  private static PeerMessage message(SharedRead read) {
    return message(Optional.of(read), QuarantineNotice.EMPTY);
  }

  private static PeerMessage message(QuarantineNotice quarantine) {
    return message(Optional.empty(), quarantine);
  }

  private static PeerMessage message(Optional<SharedRead> read, QuarantineNotice quarantine) {
    return new PeerMessage(
        new VmId("front-helsinki-a-1"),
        ERA,
        true,
        0,
        17,
        350,
        Optional.of(new LeaseNotice(new FencingNumber(3), 40, version(99))),
        read,
        quarantine,
        List.of(new EndpointIncarnation(new EndpointId("i-2"), 1_796_000_000_456L)),
        LimitNotice.EMPTY,
        LoadNotice.EMPTY);
  }

  @Test
  void decodedQuarantineNoticeEqualsEncodedOne() {
    PeerMessage message =
        message(
            new QuarantineNotice(
                List.of(
                    new HeldSubjectNotice(new PromptPartId("57dc"), 3, 1, 4_000),
                    new HeldSubjectNotice(new RequestFingerprint("57dc"), 2, 0, 100)),
                List.of(
                    new CrashReport(
                        new CrashId(new EndpointId("i-1"), 1_796_000_000_123L),
                        120,
                        List.of(
                            new CrashCandidate(
                                new PromptPartId("57dc"),
                                140,
                                StartOrder.ARRIVAL,
                                1,
                                Optional.of(new RequestFingerprint("9a"))),
                            new CrashCandidate(
                                new RequestFingerprint("9b"),
                                7,
                                StartOrder.UNKNOWN,
                                2,
                                Optional.empty())))),
                List.of(
                    new SoundSubjectNotice(new PromptPartId("f967"), 15),
                    new SoundSubjectNotice(new RequestFingerprint("f967"), 16))));
    assertThat(PeerMessageCodec.decode(PeerMessageCodec.encode(message)), is(Optional.of(message)));
  }

  // A relay that believes in dozens of crashes at once must still send messages of one packet.
  @Test
  void largestQuarantineNoticeFitsIntoPacket() {
    CrashQuarantine quarantine = new CrashQuarantine();
    for (int crash = 0; crash < 100; crash++) {
      List<CrashCandidate> candidates = new ArrayList<>();
      for (int part = 0; part < 20; part++) {
        candidates.add(
            new CrashCandidate(
                new PromptPartId("%064d".formatted(crash / 2 * 20 + part)),
                100 + part,
                StartOrder.ARRIVAL,
                part,
                Optional.of(new RequestFingerprint("%016d".formatted(part)))));
      }
      long nowNanos = crash * 200_000_000L;
      quarantine.crashed(
          new CrashId(new EndpointId("i-%010d".formatted(crash)), 1_796_000_000_123L),
          nowNanos,
          candidates,
          nowNanos);
      byte[] bytes = PeerMessageCodec.encode(message(quarantine.notice(nowNanos)));
      assertThat(bytes.length, lessThanOrEqualTo(1_400));
    }
  }

  @Test
  void decodedMessageEqualsEncodedOne() {
    PeerMessage message =
        message(
            new SharedRead(
                version(100),
                version(110),
                5_000_000_000L,
                List.of(
                    endpoint(
                        Optional.of(new AcceleratorKind("l4")), Optional.of(new LayerRange(0, 9))),
                    endpoint(Optional.empty(), Optional.empty())),
                List.of(new SharedRead.Heartbeat(new EndpointId("i-1"), 7, version(105), -9)),
                List.of(new EndpointId("i-2"))));
    assertThat(PeerMessageCodec.decode(PeerMessageCodec.encode(message)), is(Optional.of(message)));
  }

  /** Returns the messages of a relay that reads check-ins, new entries and removals at once. */
  private static List<PeerMessage> messagesOfLongRead(String idFormat) {
    List<FleetEndpoint> listed = new ArrayList<>();
    List<FleetEndpoint> changed = new ArrayList<>();
    List<RemovedEntry> removed = new ArrayList<>();
    for (int index = 0; index < 300; index++) {
      EndpointId id = new EndpointId(idFormat.formatted(index));
      FleetEndpoint entry =
          endpoint(
              id, Optional.of(new AcceleratorKind("a100s")), Optional.of(new LayerRange(40, 80)));
      if (index % 3 < 2) {
        changed.add(entry.asOf(99_999, version(1_000_000 + index)));
      } else {
        removed.add(new RemovedEntry(id, version(1_000_000 + index)));
      }
      if (index % 3 == 0) {
        listed.add(entry.asOf(99_998, version(999_000)));
      }
    }
    VmId vm = new VmId("front-helsinki-a-1");
    NodeAddress address = new NodeAddress("10.1.0.40", 7_340);
    RelayState reader =
        new RelayState(
            new RelayParameters(
                vm,
                new DataCentreId("helsinki-a"),
                Optional.of(address),
                false,
                8_000,
                SchedulingSettings.AUTO,
                1));
    List<PeerMessage> messages = new ArrayList<>();
    for (RelayEvent event :
        List.of(
            new RelayEvent.EndpointsListed(listed, version(999_999), 5_000_000_000L),
            new RelayEvent.PresencesRead(
                Map.of(
                    new VmId("front-tampere-1"),
                    new PresenceRow(version(3), Optional.of(new NodeAddress("10.3.0.40", 7_340))))),
            new RelayEvent.EndpointsChanged(
                changed, removed, version(999_999), version(1_000_400), 5_000_000_010L))) {
      for (RelayEffect effect : new RelayReducer().reduce(reader, 1, event).effects()) {
        if (effect instanceof RelayEffect.SendToPeers sent) {
          messages.add(sent.message());
        }
      }
    }
    return messages;
  }

  // Fragments of a datagram are lost together, so a message must fit into one packet.
  @ParameterizedTest
  @ValueSource(strings = {"i-%010d", "%0200d"})
  void messagesOfLongReadFitIntoPackets(String idFormat) {
    int entries = 0;
    for (PeerMessage message : messagesOfLongRead(idFormat)) {
      assertThat(PeerMessageCodec.encode(message).length, lessThanOrEqualTo(1_400));
      SharedRead read = message.read().orElseThrow();
      entries += read.changed().size() + read.heartbeats().size() + read.removed().size();
    }
    assertThat(entries, is(300));
  }

  private static PeerMessage message(LimitNotice limits) {
    return new PeerMessage(
        new VmId("front-helsinki-a-1"),
        ERA,
        true,
        0,
        17,
        350,
        Optional.empty(),
        Optional.empty(),
        QuarantineNotice.EMPTY,
        List.of(),
        limits,
        LoadNotice.EMPTY);
  }

  @Test
  void decodedLimitNoticeEqualsEncodedOne() {
    EndpointIncarnation endpoint =
        new EndpointIncarnation(new EndpointId("i-1"), 1_796_000_000_123L);
    PeerMessage message =
        message(
            new LimitNotice(
                7,
                0x8000_0000_0000_0001L,
                true,
                List.of(
                    new LimitEntry(endpoint, 2.5, false, 120, true),
                    new LimitEntry(endpoint, 0, true, 30_000, false)),
                List.of(new PermitGift(new VmId("front-tampere-1"), endpoint, 3))));
    assertThat(PeerMessageCodec.decode(PeerMessageCodec.encode(message)), is(Optional.of(message)));
  }

  // Guards against a host name that is looked up on the event loop.
  @Test
  void endpointWithoutIpAddressMakesTheMessageInvalid() {
    byte[] bytes =
        RelayProto.PeerMessage.newBuilder()
            .setVm("front-tampere-1")
            .setRead(
                RelayProto.SharedRead.newBuilder()
                    .addChanged(
                        RelayProto.Endpoint.newBuilder()
                            .setId("i-1")
                            .setService("service")
                            .setHost("db.example")
                            .setPort(80)
                            .setDataCentre("helsinki-a")))
            .build()
            .toByteArray();
    assertThat(PeerMessageCodec.decode(bytes), is(Optional.empty()));
  }

  // Guards against a rate of another relay that breaks the division of limits.
  @Test
  void limitWithoutMeaningMakesTheMessageInvalid() {
    byte[] bytes =
        RelayProto.PeerMessage.newBuilder()
            .setVm("front-tampere-1")
            .setLimits(
                RelayProto.LimitNotice.newBuilder()
                    .addEntries(
                        RelayProto.LimitEntry.newBuilder()
                            .setEndpoint("i-1")
                            .setRequestsPerSecond(Double.NaN)))
            .build()
            .toByteArray();
    assertThat(PeerMessageCodec.decode(bytes), is(Optional.empty()));
  }

  // Guards against a fragmented message when dozens of endpoints name limits at once.
  @Test
  void largestLimitNoticeFitsIntoPacket() {
    EndpointLimits limits = new EndpointLimits();
    limits.divideBy((endpoint, requestsPerSecond) -> 1, 0);
    for (int index = 0; index < 100; index++) {
      EndpointIncarnation endpoint =
          new EndpointIncarnation(new EndpointId("i-%010d".formatted(index)), 1_796_000_000_123L);
      limits.named(endpoint, 1_000.0 / 3 + index, 0);
      for (int relay = 0; relay < 20; relay++) {
        limits.told(
            new VmId("front-helsinki-a-%d".formatted(relay)),
            new LimitEntry(endpoint, 1_000.0 / 3 + index, false, 20_000, true),
            0);
      }
    }
    long nowNanos = 900_000_000L;
    LimitNotice notice =
        new LimitNotice(
            Integer.MAX_VALUE,
            -1,
            true,
            limits.nextNotice(endpoint -> true, nowNanos),
            limits.gifts(nowNanos));
    assertThat(notice.gifts().isEmpty(), is(false));
    assertThat(PeerMessageCodec.encode(message(notice)).length, lessThanOrEqualTo(1_400));
  }

  @Test
  void bytesThatAreNoMessageAreRejected() {
    assertThat(PeerMessageCodec.decode(new byte[] {(byte) 0xff, 1, 2}), is(Optional.empty()));
    assertThat(PeerMessageCodec.decode(new byte[0]), is(Optional.empty()));
  }
}
