package io.zinniawood.core.load;

import java.util.List;

/**
 * Encoded size of a notice; see {@code LoadNotice} in relay.proto. Fields that are 0 and empty
 * lists take no bytes.
 */
public final class LoadNoticeSize {
  private static final int FIXED_BYTES = 4;
  private static final int TAG_BYTES = 1;

  /** Tag of the field in the message between relays, whose number is above 15. */
  private static final int NOTICE_TAG_BYTES = 2;

  private static final int VARINT_BITS = 7;

  private LoadNoticeSize() {}

  /** Returns the size of a notice; 0 if there is none. */
  public static int bytes(LoadNotice notice) {
    if (notice.isEmpty()) {
      return 0;
    }
    int bytes = fixedField(notice.startNumber()) + varintField(notice.sequence());
    for (ServiceLoad service : notice.services()) {
      bytes += withLength(serviceBytes(service));
    }
    for (LinkTransfers transfers : notice.transfers()) {
      bytes += linkBytes(transfers);
    }
    return NOTICE_TAG_BYTES + varintBytes(bytes) + bytes;
  }

  private static int serviceBytes(ServiceLoad service) {
    LoadFigures totals = service.totals();
    int bytes =
        fixedField(service.service())
            + varintField(totals.requests())
            + varintField(totals.tokenUnits())
            + varintField(totals.promptUnits())
            + varintField(service.endpointCount())
            + varintField(service.arrivalsPerSecond());
    List<EndpointFigures> entries = service.endpoints();
    int figures = 0;
    for (EndpointFigures entry : entries) {
      figures += figureBytes(entry.figures());
    }
    return entries.isEmpty()
        ? bytes
        : bytes + withLength(FIXED_BYTES * entries.size()) + withLength(figures);
  }

  static int linkBytes(LinkTransfers transfers) {
    return withLength(fixedField(transfers.link()) + varintField(transfers.totalMillis()));
  }

  static int entryBytes(LoadFigures figures) {
    return FIXED_BYTES + figureBytes(figures);
  }

  private static int figureBytes(LoadFigures figures) {
    return varintBytes(figures.requests())
        + varintBytes(figures.tokenUnits())
        + varintBytes(figures.promptUnits());
  }

  private static int fixedField(int value) {
    return value == 0 ? 0 : TAG_BYTES + FIXED_BYTES;
  }

  private static int varintField(long value) {
    return value == 0 ? 0 : TAG_BYTES + varintBytes(value);
  }

  private static int withLength(int bytes) {
    return TAG_BYTES + varintBytes(bytes) + bytes;
  }

  private static int varintBytes(long value) {
    int significantBits = Long.SIZE - Long.numberOfLeadingZeros(value | 1);
    return (significantBits + VARINT_BITS - 1) / VARINT_BITS;
  }
}
