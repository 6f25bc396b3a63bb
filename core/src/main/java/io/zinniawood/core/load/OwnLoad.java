package io.zinniawood.core.load;

import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.Hashing;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.rate.DecayingRate;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * What this relay has in flight, and when it tells how much of that to the others.
 *
 * <p>The limit on bytes is a credit of time that grows up to the validity of figures, and that a
 * notice uses up by its size and number of receivers. If the credit is small, notices first name
 * fewer endpoints, down to {@link #MIN_ENTRIES}, and then become rarer. Designed for 63 receivers,
 * which leave 31 bytes a second for each.
 */
public final class OwnLoad {
  /** Bytes of notices per second to all receivers together: the control budget of a relay. */
  private static final long MAX_BYTES_PER_SECOND = 2_000;

  /** Interval of messages, which is the shortest one of notices. */
  private static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /**
   * Interval from which a notice is sent even if it names fewer than {@link #MIN_ENTRIES}
   * endpoints. With one more message interval, it reaches the others before figures expire.
   */
  private static final long LONG_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Interval from which a notice is sent even if it names no endpoint. */
  private static final long MAX_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_750);

  /** Credit at the start, with which the first notice is sent at once: nothing was sent before. */
  private static final long FIRST_CREDIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  /** Number of endpoints for which a notice waits, as its fixed part takes the room of four. */
  private static final int MIN_ENTRIES = 4;

  /** Bytes of an entry for the decision whether a notice is due; most figures take 7 or 8. */
  private static final int TYPICAL_ENTRY_BYTES = 8;

  /**
   * Maximum size; the rest of a packet of 1,400 bytes is for the fields of every message and for
   * endpoints that leave.
   */
  private static final int MAX_NOTICE_BYTES = 400;

  /** Mean age of the arrivals that count. With one second, their weight is the rate a second. */
  private static final double ARRIVAL_MEAN_AGE_SECONDS = 1;

  /** Maximum number of links in a notice. */
  private static final int MAX_LINKS = 2;

  /** Tags and lengths of the lists of entries, and growth of the lengths around them. */
  private static final int LENGTH_GROWTH_BYTES = 8;

  private final int startNumber;
  private final NoticeEntries entries = new NoticeEntries();
  private final Map<ServiceName, DecayingRate> arrivalsByService = new HashMap<>();
  private final Map<Integer, Transfers> transfersByLink = new HashMap<>();
  private long sequence;
  private boolean started;
  private long sentNanos;
  private long creditNanos;
  private long creditedNanos;
  private long sentBytes;

  private static final class Transfers {
    double totalMillis;
    double sentMillis;
  }

  /**
   * A service with the endpoints that this relay knows.
   *
   * @param endpoints all endpoints of the service
   */
  public record Service(ServiceName name, List<TrackedEndpoint> endpoints) {}

  /**
   * Creates the state of a relay that has sent nothing.
   *
   * @param startSeed number that differs between two starts of the relay
   */
  public OwnLoad(long startSeed) {
    startNumber = (int) Hashing.mix(startSeed);
  }

  /** Records that a request was sent to the endpoints of a service. */
  public void requestSent(ServiceName service, long nowNanos) {
    arrivalsByService
        .computeIfAbsent(service, name -> new DecayingRate(ARRIVAL_MEAN_AGE_SECONDS))
        .add(nowNanos);
  }

  /** Records a transfer from one data centre to another. */
  public void transferred(DataCentreId from, DataCentreId to, double millis) {
    transfersByLink.computeIfAbsent(LoadHashes.ofLink(from, to), link -> new Transfers())
            .totalMillis +=
        millis;
  }

  /** Returns the number of notices that were sent, each of them to all receivers. */
  public long noticesSent() {
    return sequence;
  }

  /** Returns the bytes of all notices to all receivers, as bounded by their limit. */
  public long sentBytes() {
    return sentBytes;
  }

  /** Returns the next notice, if one is due. */
  public Optional<LoadNotice> nextNotice(List<Service> services, int receivers, long nowNanos) {
    if (!started) {
      started = true;
      sentNanos = nowNanos - LONG_INTERVAL_NANOS;
      creditedNanos = nowNanos - FIRST_CREDIT_NANOS;
    }
    creditNanos =
        Math.min(FleetLoad.VALIDITY_NANOS, creditNanos + Math.max(0, nowNanos - creditedNanos));
    creditedNanos = nowNanos;
    long elapsedNanos = nowNanos - sentNanos;
    if (receivers == 0 || elapsedNanos < MIN_INTERVAL_NANOS) {
      return Optional.empty();
    }
    return nextNotice(services, receivers, nowNanos, elapsedNanos);
  }

  private Optional<LoadNotice> nextNotice(
      List<Service> services, int receivers, long nowNanos, long elapsedNanos) {
    long creditBytes = creditNanos * MAX_BYTES_PER_SECOND / NANOS_PER_SECOND;
    int roomBytes = (int) Math.min(MAX_NOTICE_BYTES, creditBytes / receivers);
    List<NoticeEntries.Candidate> candidates = new ArrayList<>();
    List<ServiceLoad> totals = new ArrayList<>();
    for (Service service : services) {
      candidates.addAll(entries.candidates(totals.size(), service.endpoints(), nowNanos));
      totals.add(totals(service, nowNanos));
    }
    LoadNotice frame = new LoadNotice(startNumber, sequence + 1, totals, changedLinks());
    if (elapsedNanos >= LONG_INTERVAL_NANOS && LoadNoticeSize.bytes(frame) > roomBytes) {
      frame = new LoadNotice(startNumber, sequence + 1, totals, List.of());
    }
    int entryRoomBytes = roomBytes - LoadNoticeSize.bytes(frame) - LENGTH_GROWTH_BYTES;
    if (entryRoomBytes < neededBytes(candidates.size(), elapsedNanos)) {
      return Optional.empty();
    }
    List<NoticeEntries.Candidate> named = NoticeEntries.select(candidates, entryRoomBytes);
    return Optional.of(sent(withEntries(frame, named), named, receivers, nowNanos));
  }

  private static int neededBytes(int candidates, long elapsedNanos) {
    int needed = elapsedNanos >= LONG_INTERVAL_NANOS ? 1 : MIN_ENTRIES;
    int wanted = elapsedNanos >= MAX_INTERVAL_NANOS ? 0 : Math.min(needed, candidates);
    return wanted * TYPICAL_ENTRY_BYTES;
  }

  private ServiceLoad totals(Service service, long nowNanos) {
    LoadFigures sum = LoadFigures.NONE;
    for (TrackedEndpoint endpoint : service.endpoints()) {
      sum = sum.plus(NoticeEntries.figures(endpoint));
    }
    DecayingRate arrivals = arrivalsByService.get(service.name());
    return new ServiceLoad(
        LoadHashes.of(service.name()),
        sum,
        service.endpoints().size(),
        arrivals == null ? 0 : (int) Math.round(arrivals.weight(nowNanos)),
        List.of());
  }

  private List<LinkTransfers> changedLinks() {
    return transfersByLink.entrySet().stream()
        .filter(link -> unsentMillis(link.getValue()) >= 1)
        .sorted(
            (one, other) ->
                Double.compare(unsentMillis(other.getValue()), unsentMillis(one.getValue())))
        .limit(MAX_LINKS)
        .map(link -> new LinkTransfers(link.getKey(), wireMillis(link.getValue().totalMillis)))
        .toList();
  }

  private static double unsentMillis(Transfers transfers) {
    return transfers.totalMillis - transfers.sentMillis;
  }

  private static int wireMillis(double totalMillis) {
    return (int) (Math.round(totalMillis) % LinkTransfers.MODULUS_MILLIS);
  }

  private static LoadNotice withEntries(LoadNotice frame, List<NoticeEntries.Candidate> named) {
    List<ServiceLoad> services = new ArrayList<>();
    for (int index = 0; index < frame.services().size(); index++) {
      ServiceLoad totals = frame.services().get(index);
      int service = index;
      services.add(
          new ServiceLoad(
              totals.service(),
              totals.totals(),
              totals.endpointCount(),
              totals.arrivalsPerSecond(),
              named.stream()
                  .filter(candidate -> candidate.service() == service)
                  .map(candidate -> new EndpointFigures(candidate.endpoint(), candidate.figures()))
                  .toList()));
    }
    return new LoadNotice(frame.startNumber(), frame.sequence(), services, frame.transfers());
  }

  private LoadNotice sent(
      LoadNotice notice, List<NoticeEntries.Candidate> named, int receivers, long nowNanos) {
    entries.sent(named, nowNanos);
    for (LinkTransfers transfers : notice.transfers()) {
      Transfers own = transfersByLink.get(transfers.link());
      own.sentMillis = own.totalMillis;
    }
    long bytes = (long) LoadNoticeSize.bytes(notice) * receivers;
    sequence = notice.sequence();
    sentNanos = nowNanos;
    sentBytes += bytes;
    creditNanos -= bytes * NANOS_PER_SECOND / MAX_BYTES_PER_SECOND;
    return notice;
  }
}
