package io.zinniawood.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.zinniawood.core.id.StoreEra;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.limit.LimitNotice;
import io.zinniawood.core.load.EndpointFigures;
import io.zinniawood.core.load.LinkTransfers;
import io.zinniawood.core.load.LoadFigures;
import io.zinniawood.core.load.LoadNotice;
import io.zinniawood.core.load.LoadNoticeSize;
import io.zinniawood.core.load.ServiceLoad;
import io.zinniawood.core.quarantine.QuarantineNotice;
import io.zinniawood.core.relay.PeerMessage;
import io.zinniawood.wire.generated.RelayProto;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class LoadNoticeCodecTest {
  private static PeerMessage message(LoadNotice load) {
    return new PeerMessage(
        new VmId("front-helsinki-a-1"),
        new StoreEra(3),
        true,
        0,
        17,
        350,
        Optional.empty(),
        Optional.empty(),
        QuarantineNotice.EMPTY,
        List.of(),
        LimitNotice.EMPTY,
        load);
  }

  private static LoadNotice notice(int entries) {
    List<EndpointFigures> endpoints = new ArrayList<>();
    for (int index = 0; index < entries; index++) {
      endpoints.add(
          new EndpointFigures(index * 0x9e3779b9, new LoadFigures(index, 15 * index, 12 * index)));
    }
    return new LoadNotice(
        0xfedcba98,
        0xffff_fffeL,
        List.of(
            new ServiceLoad(0x80000001, new LoadFigures(70, 900, 120), 300, 9, endpoints),
            new ServiceLoad(2, LoadFigures.NONE, 0, 0, List.of())),
        List.of(new LinkTransfers(-5, 65_535), new LinkTransfers(6, 0)));
  }

  private static Optional<PeerMessage> decode(RelayProto.LoadNotice.Builder notice) {
    return PeerMessageCodec.decode(
        RelayProto.PeerMessage.newBuilder()
            .setVm("front-tampere-1")
            .setLoad(notice)
            .build()
            .toByteArray());
  }

  private static RelayProto.LoadNotice.Builder with(RelayProto.ServiceLoad.Builder service) {
    return RelayProto.LoadNotice.newBuilder().setSequence(1).addServices(service);
  }

  @Test
  void decodedNoticeEqualsEncodedOne() {
    PeerMessage message = message(notice(40));
    assertThat(PeerMessageCodec.decode(PeerMessageCodec.encode(message)), is(Optional.of(message)));
  }

  // Guards against a relay of an earlier build whose messages are taken for notices.
  @Test
  void messageWithoutTheFieldHasNoNotice() {
    byte[] bytes = RelayProto.PeerMessage.newBuilder().setVm("vm").build().toByteArray();
    assertThat(PeerMessageCodec.decode(bytes).orElseThrow().load(), is(LoadNotice.EMPTY));
    byte[] empty = PeerMessageCodec.encode(message(LoadNotice.EMPTY));
    assertThat(PeerMessageCodec.decode(empty).orElseThrow().load(), is(LoadNotice.EMPTY));
  }

  // Guards against notices that exceed the limit on bytes, which counts the calculated size.
  @Test
  void calculatedSizeIsThatOfTheEncodedNotice() {
    int withoutNotice = PeerMessageCodec.encode(message(LoadNotice.EMPTY)).length;
    for (int entries = 0; entries <= 120; entries += 8) {
      int bytes = PeerMessageCodec.encode(message(notice(entries))).length - withoutNotice;
      assertThat(LoadNoticeSize.bytes(notice(entries)), is(bytes));
    }
  }

  // Guards against figures of another relay that break the sums.
  @Test
  void figuresOutOfRangeMakeTheMessageInvalid() {
    assertThat(decode(with(service().setRequests(-1))), is(Optional.empty()));
    assertThat(decode(with(service().setTokenUnits((1 << 30) + 1))), is(Optional.empty()));
    assertThat(decode(with(service().setEndpointCount(-1))), is(Optional.empty()));
    assertThat(decode(with(service().setArrivals(-1))), is(Optional.empty()));
    assertThat(
        decode(with(service().addEndpoints(1).addFigures(1).addFigures(-1).addFigures(1))),
        is(Optional.empty()));
    assertThat(
        decode(
            RelayProto.LoadNotice.newBuilder()
                .addTransfers(RelayProto.LinkTransfers.newBuilder().setTotalMillis(1 << 16))),
        is(Optional.empty()));
  }

  // Guards against an access beyond the figures.
  @Test
  void figuresThatDoNotMatchTheEndpointsMakeTheMessageInvalid() {
    assertThat(
        decode(with(service().addEndpoints(1).addFigures(1).addFigures(1))), is(Optional.empty()));
  }

  private static RelayProto.ServiceLoad.Builder service() {
    return RelayProto.ServiceLoad.newBuilder().setService(1);
  }
}
