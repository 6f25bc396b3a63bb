package io.zinniawood.entry.reporting;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.vavr.collection.TreeSet;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.message.Message;
import io.zinniawood.report.Report;
import io.zinniawood.report.TextRenderer;
import io.zinniawood.report.page.ServiceLevelReport;
import io.zinniawood.report.slo.ObjectiveCounts;
import io.zinniawood.report.slo.ObjectiveTarget;
import io.zinniawood.report.slo.Observation;
import io.zinniawood.report.slo.RequestCounts;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Merges the counts of three entries in two data centres, with a fake store and a test clock. */
final class MergedCountsTest {
  private static final Observation ANSWERED =
      new Observation(Observation.Answer.ANSWERED, Observation.Latency.NOT_MEASURED, Option.none());
  private static final Observation FAILED =
      new Observation(
          Observation.Answer.NOT_ANSWERED,
          Observation.Latency.NOT_MEASURED,
          Option.some("overloaded"));

  private final InMemoryObjectStore store = new InMemoryObjectStore();
  private final CountsReader reader = new CountsReader(store, Runnable::run);
  private CountsMerger helsinkiMerger = newMerger("helsinki-a");
  private final CountsMerger tampereMerger = newMerger("tampere");
  private final CountsSender firstSender = new CountsSender("entry-1/a");
  private final CountsSender secondSender = new CountsSender("entry-2/a");
  private final CountsSender thirdSender = new CountsSender("entry-3/a");
  private long nowMillis = 1_796_364_000_000L;

  private CountsMerger newMerger(String dataCentre) {
    return new CountsMerger(dataCentre, store, Runnable::run);
  }

  private void sendInterval(CountsSender sender, CountsMerger merger) {
    nowMillis += 10_000;
    sender.endInterval(nowMillis).forEach(message -> deliver(message, sender, merger));
  }

  private static void deliver(
      Message.ObjectiveCounts message, CountsSender sender, CountsMerger merger) {
    merger
        .offer(CountsDelta.fromMessage(message).get())
        .map(CountsReceipt::toMessage)
        .flatMap(CountsReceipt::fromMessage)
        .forEach(sender::onReceipt);
  }

  private void count(CountsSender sender, int requests) {
    for (int request = 0; request < requests; request++) {
      sender.count("kiosk", nowMillis, request % 10 == 0 ? FAILED : ANSWERED);
    }
  }

  private void flushAll() {
    helsinkiMerger.flush(nowMillis);
    tampereMerger.flush(nowMillis);
  }

  private RequestCounts total() {
    assertThat(reader.read().join(), is(true));
    return reader
        .total()
        .get("kiosk")
        .map(counts -> counts.window(nowMillis, TimeUnit.HOURS.toMillis(6)))
        .getOrElse(RequestCounts.NONE);
  }

  // Guards against sums that leave out an entry, a data centre or the causes of failures.
  @Test
  void countsOfAllEntriesAndDataCentresAreAdded() {
    flushAll();
    count(firstSender, 100);
    count(secondSender, 20);
    count(thirdSender, 10);
    sendInterval(firstSender, helsinkiMerger);
    sendInterval(secondSender, helsinkiMerger);
    sendInterval(thirdSender, tampereMerger);
    flushAll();
    assertThat(total().requests(), is(130L));
    RequestCounts day =
        reader.total().get("kiosk").get().window(nowMillis, TimeUnit.HOURS.toMillis(24));
    assertThat(day.failureCauses().get("overloaded"), is(Option.some(13L)));
    int bytes =
        CountsDelta.fromMessage(firstSender.endInterval(nowMillis).last())
            .get()
            .toMessage(nowMillis)
            .get()
            .counts()
            .bytes()
            .length;
    assertThat(bytes, lessThan(2_000));
  }

  // Guards against counts that are lost or added twice after a lost message or receipt.
  @Test
  void lostMessagesAndReceiptsDoNotChangeCounts() {
    flushAll();
    count(firstSender, 10);
    firstSender.endInterval(nowMillis);
    count(firstSender, 10);
    Vector<Message.ObjectiveCounts> sent = firstSender.endInterval(nowMillis);
    assertThat(sent.size(), is(2));
    // The first message of the second round and all receipts are lost.
    helsinkiMerger.offer(CountsDelta.fromMessage(sent.last()).get());
    sendInterval(firstSender, helsinkiMerger);
    sendInterval(firstSender, helsinkiMerger);
    flushAll();
    flushAll();
    assertThat(total().requests(), is(20L));
    sendInterval(firstSender, helsinkiMerger);
    assertThat(firstSender.keptIntervals(), is(1));
  }

  // Guards against losing counts when the merging entry is lost, and against adding them twice when
  // a write took effect but its response was lost.
  @Test
  void anotherMergingEntryAddsEachDeltaOnce() {
    flushAll();
    count(firstSender, 30);
    sendInterval(firstSender, helsinkiMerger);
    store.loseNextWriteResponse();
    helsinkiMerger.flush(nowMillis);
    count(firstSender, 5);
    sendInterval(firstSender, helsinkiMerger);
    helsinkiMerger = newMerger("helsinki-a");
    sendInterval(firstSender, helsinkiMerger);
    helsinkiMerger.flush(nowMillis);
    sendInterval(firstSender, helsinkiMerger);
    sendInterval(firstSender, helsinkiMerger);
    helsinkiMerger.flush(nowMillis);
    assertThat(total().requests(), is(35L));
  }

  // Guards against two entries that merge at the same time and overwrite each other's counts.
  @Test
  void twoMergingEntriesLoseNoCounts() {
    CountsMerger other = newMerger("helsinki-a");
    helsinkiMerger.flush(nowMillis);
    other.flush(nowMillis);
    count(firstSender, 7);
    count(secondSender, 8);
    sendInterval(firstSender, helsinkiMerger);
    sendInterval(secondSender, other);
    helsinkiMerger.flush(nowMillis);
    other.flush(nowMillis);
    helsinkiMerger.flush(nowMillis);
    assertThat(total().requests(), is(15L));
  }

  // Guards against ignoring the counts of a restarted entry as duplicates, because its sequence
  // starts again at 1.
  @Test
  void countsOfRestartedEntryAreAdded() {
    flushAll();
    count(firstSender, 10);
    sendInterval(firstSender, helsinkiMerger);
    sendInterval(firstSender, helsinkiMerger);
    flushAll();
    CountsSender restarted = new CountsSender("entry-1/b");
    count(restarted, 4);
    sendInterval(restarted, helsinkiMerger);
    flushAll();
    assertThat(total().requests(), is(14L));
  }

  // Guards against counts that are lost in an outage of the store, and against an outage that the
  // reader does not report.
  @Test
  void countsAreKeptDuringStoreOutage() {
    flushAll();
    count(firstSender, 10);
    sendInterval(firstSender, helsinkiMerger);
    flushAll();
    assertThat(total().requests(), is(10L));
    store.setUnavailable(true);
    for (int round = 0; round < 60; round++) {
      count(firstSender, 10);
      sendInterval(firstSender, helsinkiMerger);
      helsinkiMerger.flush(nowMillis);
    }
    reader.read().join();
    assertThat(reader.lastError(), is(Option.some("outage")));
    assertThat(
        reader.total().get("kiosk").get().window(nowMillis, TimeUnit.HOURS.toMillis(6)).requests(),
        is(10L));
    store.setUnavailable(false);
    helsinkiMerger.flush(nowMillis);
    assertThat(total().requests(), is(610L));
    assertThat(reader.lastError(), is(Option.none()));
    helsinkiMerger.flush(nowMillis);
    assertThat(helsinkiMerger.unconfirmed(), is(0));
    assertThat(firstSender.droppedIntervals(), is(0L));
  }

  // Guards against memory that grows while no entry merges and stores the counts.
  @Test
  void deltasAreBoundedWhileNoEntryMerges() {
    for (int round = 0; round < CountsSender.MAX_KEPT_INTERVALS + 25; round++) {
      assertThat(
          firstSender.endInterval(nowMillis).size() <= CountsSender.MAX_MESSAGES_PER_ROUND,
          is(true));
    }
    assertThat(firstSender.keptIntervals(), is(CountsSender.MAX_KEPT_INTERVALS));
    assertThat(firstSender.droppedIntervals(), is(25L));
    helsinkiMerger.flush(nowMillis);
    sendInterval(firstSender, helsinkiMerger);
    helsinkiMerger.flush(nowMillis);
    sendInterval(firstSender, helsinkiMerger);
    helsinkiMerger.flush(nowMillis);
    sendInterval(firstSender, helsinkiMerger);
    assertThat(firstSender.keptIntervals() < CountsSender.MAX_KEPT_INTERVALS, is(true));
  }

  // Guards against a report that looks complete although a data centre has stopped reporting or
  // never reported.
  @Test
  void reportNamesOldAndMissingDataCentres() {
    flushAll();
    nowMillis += TimeUnit.MINUTES.toMillis(14);
    helsinkiMerger.flush(nowMillis);
    total();
    Report report =
        ServiceLevelReport.of(
            new ServiceLevelReport.Figures(
                nowMillis,
                "entry-1",
                Vector.of(
                    new ObjectiveTarget(
                        "kiosk", "chat", 0.99, Option.none(), Option.none(), 0.95, 0, 28)),
                reader.total(),
                reader.dataCentres(TreeSet.of("helsinki-b"))));
    String text = new TextRenderer().render(report);
    assertThat(text, containsString("No figures of helsinki-b have arrived."));
    assertThat(text, containsString("The figures of tampere end at"));
    assertThat(text.contains("helsinki-a"), is(false));
  }

  // Guards against merged intervals that are counted in the wrong window or lost.
  @Test
  void compactionKeepsTheTotalsOfWindows() {
    ObjectiveCounts exact = ObjectiveCounts.empty("kiosk");
    long start = nowMillis - TimeUnit.DAYS.toMillis(20);
    for (long at = start; at <= nowMillis; at += TimeUnit.MINUTES.toMillis(13)) {
      exact = exact.with(at, FAILED);
    }
    ObjectiveCounts compacted = CountsCompaction.compact(exact, nowMillis);
    assertThat(CountsCompaction.compact(compacted, nowMillis), is(compacted));
    assertThat(compacted.hours().size(), lessThan(exact.hours().size() / 3));
    for (long hours : new long[] {1, 24, 72, 28 * 24}) {
      RequestCounts window = exact.window(nowMillis, TimeUnit.HOURS.toMillis(hours));
      RequestCounts found = compacted.window(nowMillis, TimeUnit.HOURS.toMillis(hours));
      assertThat(found.requests(), is(window.requests()));
    }
  }
}
