package io.zinniawood.wire;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.EndpointIncarnation;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.limit.LimitEntry;
import io.zinniawood.core.limit.LimitNotice;
import io.zinniawood.core.limit.PermitGift;
import io.zinniawood.wire.generated.RelayProto;
import java.util.ArrayList;
import java.util.List;

/** Encodes and decodes what relays tell each other about limits of endpoints. */
final class LimitNoticeCodec {
  private LimitNoticeCodec() {}

  static RelayProto.LimitNotice encode(LimitNotice notice) {
    RelayProto.LimitNotice.Builder builder =
        RelayProto.LimitNotice.newBuilder()
            .setSequence((int) notice.sequence())
            .setMembersDigest(notice.membersDigest())
            .setStopping(notice.stopping());
    for (LimitEntry entry : notice.entries()) {
      builder.addEntries(
          RelayProto.LimitEntry.newBuilder()
              .setEndpoint(entry.endpoint().endpoint().value())
              .setStartedMillis(entry.endpoint().startedMillis())
              .setRequestsPerSecond(entry.requestsPerSecond())
              .setEnded(entry.ended())
              .setEvidenceAgeMillis((int) Math.min(Integer.MAX_VALUE, entry.evidenceAgeMillis()))
              .setWanted(entry.wanted()));
    }
    for (PermitGift gift : notice.gifts()) {
      builder.addGifts(
          RelayProto.PermitGift.newBuilder()
              .setReceiverVm(gift.receiver().value())
              .setEndpoint(gift.endpoint().endpoint().value())
              .setStartedMillis(gift.endpoint().startedMillis())
              .setPermits(gift.permits()));
    }
    return builder.build();
  }

  /** Decodes a notice; throws {@link IllegalArgumentException} if a value is out of range. */
  static LimitNotice decode(RelayProto.LimitNotice notice) {
    List<LimitEntry> entries = new ArrayList<>();
    for (RelayProto.LimitEntry entry : notice.getEntriesList()) {
      entries.add(
          new LimitEntry(
              incarnation(entry.getEndpoint(), entry.getStartedMillis()),
              entry.getRequestsPerSecond(),
              entry.getEnded(),
              Integer.toUnsignedLong(entry.getEvidenceAgeMillis()),
              entry.getWanted()));
    }
    List<PermitGift> gifts = new ArrayList<>();
    for (RelayProto.PermitGift gift : notice.getGiftsList()) {
      gifts.add(
          new PermitGift(
              new VmId(gift.getReceiverVm()),
              incarnation(gift.getEndpoint(), gift.getStartedMillis()),
              gift.getPermits()));
    }
    return new LimitNotice(
        Integer.toUnsignedLong(notice.getSequence()),
        notice.getMembersDigest(),
        notice.getStopping(),
        entries,
        gifts);
  }

  private static EndpointIncarnation incarnation(String endpoint, long startedMillis) {
    return new EndpointIncarnation(new EndpointId(endpoint), startedMillis);
  }
}
