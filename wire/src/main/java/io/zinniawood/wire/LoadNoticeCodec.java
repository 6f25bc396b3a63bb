package io.zinniawood.wire;

import io.zinniawood.core.load.EndpointFigures;
import io.zinniawood.core.load.LinkTransfers;
import io.zinniawood.core.load.LoadFigures;
import io.zinniawood.core.load.LoadNotice;
import io.zinniawood.core.load.ServiceLoad;
import io.zinniawood.wire.generated.RelayProto;
import java.util.ArrayList;
import java.util.List;

/** Encodes and decodes what relays tell each other about their requests in flight. */
final class LoadNoticeCodec {
  private static final int FIGURES_PER_ENDPOINT = 3;

  private LoadNoticeCodec() {}

  static RelayProto.LoadNotice encode(LoadNotice notice) {
    RelayProto.LoadNotice.Builder builder =
        RelayProto.LoadNotice.newBuilder()
            .setStartNumber(notice.startNumber())
            .setSequence((int) notice.sequence());
    for (ServiceLoad service : notice.services()) {
      builder.addServices(encodeService(service));
    }
    for (LinkTransfers transfers : notice.transfers()) {
      builder.addTransfers(
          RelayProto.LinkTransfers.newBuilder()
              .setLink(transfers.link())
              .setTotalMillis(transfers.totalMillis()));
    }
    return builder.build();
  }

  private static RelayProto.ServiceLoad encodeService(ServiceLoad service) {
    RelayProto.ServiceLoad.Builder builder =
        RelayProto.ServiceLoad.newBuilder()
            .setService(service.service())
            .setRequests(service.totals().requests())
            .setTokenUnits(service.totals().tokenUnits())
            .setPromptUnits(service.totals().promptUnits())
            .setEndpointCount(service.endpointCount())
            .setArrivals(service.arrivalsPerSecond());
    for (EndpointFigures entry : service.endpoints()) {
      builder
          .addEndpoints(entry.endpoint())
          .addFigures(entry.figures().requests())
          .addFigures(entry.figures().tokenUnits())
          .addFigures(entry.figures().promptUnits());
    }
    return builder.build();
  }

  /** Decodes a notice; throws {@link IllegalArgumentException} if a value is out of range. */
  static LoadNotice decode(RelayProto.LoadNotice notice) {
    List<ServiceLoad> services = new ArrayList<>();
    for (RelayProto.ServiceLoad service : notice.getServicesList()) {
      services.add(decodeService(service));
    }
    List<LinkTransfers> transfers = new ArrayList<>();
    for (RelayProto.LinkTransfers link : notice.getTransfersList()) {
      transfers.add(new LinkTransfers(link.getLink(), link.getTotalMillis()));
    }
    return new LoadNotice(
        notice.getStartNumber(), Integer.toUnsignedLong(notice.getSequence()), services, transfers);
  }

  private static ServiceLoad decodeService(RelayProto.ServiceLoad service) {
    int count = service.getEndpointsCount();
    if (service.getFiguresCount() != FIGURES_PER_ENDPOINT * count) {
      throw new IllegalArgumentException("number of load figures does not match the endpoints");
    }
    List<EndpointFigures> endpoints = new ArrayList<>(count);
    for (int index = 0; index < count; index++) {
      int first = FIGURES_PER_ENDPOINT * index;
      endpoints.add(
          new EndpointFigures(
              service.getEndpoints(index),
              new LoadFigures(
                  service.getFigures(first),
                  service.getFigures(first + 1),
                  service.getFigures(first + 2))));
    }
    return new ServiceLoad(
        service.getService(),
        new LoadFigures(service.getRequests(), service.getTokenUnits(), service.getPromptUnits()),
        service.getEndpointCount(),
        service.getArrivals(),
        endpoints);
  }
}
