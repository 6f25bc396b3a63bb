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

/** Counts of three entries in two data centres, with fakes and a clock of the test. */
final class MergedCountsTest {
  private static final Observation ANSWERED =
      new Observation(Observation.Answer.ANSWERED, Observation.Latency.NOT_MEASURED, Option.none());
  private static final Observation FAILED =
      new Observation(
          Observation.Answer.NOT_ANSWERED,
          Observation.Latency.NOT_MEASURED,
          Option.some("overloaded"));

  private final MemoryStore store = new MemoryStore();
  private final CountsReader reader = new CountsReader(store, Runnable::run);
  private CountsCollector helsinki = collector("helsinki-a");
  private final CountsCollector tampere = collector("tampere");
  private final CountsSender first = new CountsSender("entry-1/a");
  private final CountsSender second = new CountsSender("entry-2/a");
  private final CountsSender third = new CountsSender("entry-3/a");
  private long nowMillis = 1_796_364_000_000L;

  private CountsCollector collector(String dataCentre) {
    return new CountsCollector(dataCentre, store, Runnable::run);
  }

  private void exchange(CountsSender sender, CountsCollector collector) {
    nowMillis += 10_000;
    sender.endInterval(nowMillis).forEach(message -> deliver(message, sender, collector));
  }

  private static void deliver(
      Message.ObjectiveCounts message, CountsSender sender, CountsCollector collector) {
    collector
        .offer(CountsDelta.of(message).get())
        .map(CountsReceipt::toMessage)
        .flatMap(CountsReceipt::of)
        .forEach(sender::onReceipt);
  }

  private void count(CountsSender sender, int requests) {
    for (int request = 0; request < requests; request++) {
      sender.count("kiosk", nowMillis, request % 10 == 0 ? FAILED : ANSWERED);
    }
  }

  private void flushAll() {
    helsinki.flush(nowMillis);
    tampere.flush(nowMillis);
  }

  private RequestCounts total() {
    assertThat(reader.read().join(), is(true));
    return reader
        .total()
        .get("kiosk")
        .map(counts -> counts.window(nowMillis, TimeUnit.HOURS.toMillis(6)))
        .getOrElse(RequestCounts.NONE);
  }

  // Guards against figures that leave out an entry or a data centre, or lose the causes.
  @Test
  void countsOfAllEntriesAndDataCentresAreAdded() {
    flushAll();
    count(first, 100);
    count(second, 20);
    count(third, 10);
    exchange(first, helsinki);
    exchange(second, helsinki);
    exchange(third, tampere);
    flushAll();
    assertThat(total().requests(), is(130L));
    RequestCounts day =
        reader.total().get("kiosk").get().window(nowMillis, TimeUnit.HOURS.toMillis(24));
    assertThat(day.failureCauses().get("overloaded"), is(Option.some(13L)));
    int bytes =
        CountsDelta.of(first.endInterval(nowMillis).last())
            .get()
            .toMessage(nowMillis)
            .get()
            .counts()
            .bytes()
            .length;
    assertThat(bytes, lessThan(2_000));
  }

  // Guards against counts that a lost message or a lost receipt loses or adds twice.
  @Test
  void lostMessagesAndReceiptsChangeNothing() {
    flushAll();
    count(first, 10);
    first.endInterval(nowMillis);
    count(first, 10);
    Vector<Message.ObjectiveCounts> sent = first.endInterval(nowMillis);
    assertThat(sent.size(), is(2));
    // The first message of the second round and all receipts are lost.
    helsinki.offer(CountsDelta.of(sent.last()).get());
    exchange(first, helsinki);
    exchange(first, helsinki);
    flushAll();
    flushAll();
    assertThat(total().requests(), is(20L));
    exchange(first, helsinki);
    assertThat(first.kept(), is(1));
  }

  // Guards against the loss of counts with the merging entry, and against a store whose write took
  // effect although its response was lost.
  @Test
  void anotherMergingEntryAddsEachDeltaOnce() {
    flushAll();
    count(first, 30);
    exchange(first, helsinki);
    store.loseNextWriteResponse();
    helsinki.flush(nowMillis);
    count(first, 5);
    exchange(first, helsinki);
    helsinki = collector("helsinki-a");
    exchange(first, helsinki);
    helsinki.flush(nowMillis);
    exchange(first, helsinki);
    exchange(first, helsinki);
    helsinki.flush(nowMillis);
    assertThat(total().requests(), is(35L));
  }

  // Guards against two entries that both merge for a while and overwrite each other's object.
  @Test
  void twoMergingEntriesLoseNothing() {
    CountsCollector other = collector("helsinki-a");
    helsinki.flush(nowMillis);
    other.flush(nowMillis);
    count(first, 7);
    count(second, 8);
    exchange(first, helsinki);
    exchange(second, other);
    helsinki.flush(nowMillis);
    other.flush(nowMillis);
    helsinki.flush(nowMillis);
    assertThat(total().requests(), is(15L));
  }

  // Guards against an entry whose new incarnation starts at sequence 1 and is taken for old news.
  @Test
  void anEntryThatRestartsIsCountedOn() {
    flushAll();
    count(first, 10);
    exchange(first, helsinki);
    exchange(first, helsinki);
    flushAll();
    CountsSender restarted = new CountsSender("entry-1/b");
    count(restarted, 4);
    exchange(restarted, helsinki);
    flushAll();
    assertThat(total().requests(), is(14L));
  }

  // Guards against counts that are lost in an outage, and a report that does not tell of it.
  @Test
  void countsWaitForTheStore() {
    flushAll();
    count(first, 10);
    exchange(first, helsinki);
    flushAll();
    assertThat(total().requests(), is(10L));
    store.setDown(true);
    for (int round = 0; round < 60; round++) {
      count(first, 10);
      exchange(first, helsinki);
      helsinki.flush(nowMillis);
    }
    reader.read().join();
    assertThat(reader.trouble(), is(Option.some("outage")));
    assertThat(
        reader.total().get("kiosk").get().window(nowMillis, TimeUnit.HOURS.toMillis(6)).requests(),
        is(10L));
    store.setDown(false);
    helsinki.flush(nowMillis);
    assertThat(total().requests(), is(610L));
    assertThat(reader.trouble(), is(Option.none()));
    helsinki.flush(nowMillis);
    assertThat(helsinki.unconfirmed(), is(0));
    assertThat(first.dropped(), is(0L));
  }

  // Guards against memory that grows as long as the store is away.
  @Test
  void deltasAreBoundedWhileNobodyMerges() {
    for (int round = 0; round < CountsSender.MAX_KEPT + 25; round++) {
      assertThat(first.endInterval(nowMillis).size() <= CountsSender.MAX_MESSAGES, is(true));
    }
    assertThat(first.kept(), is(CountsSender.MAX_KEPT));
    assertThat(first.dropped(), is(25L));
    helsinki.flush(nowMillis);
    exchange(first, helsinki);
    helsinki.flush(nowMillis);
    exchange(first, helsinki);
    helsinki.flush(nowMillis);
    exchange(first, helsinki);
    assertThat(first.kept() < CountsSender.MAX_KEPT, is(true));
  }

  // Guards against figures that look complete while a data centre is silent or never reported.
  @Test
  void reportNamesOldAndMissingDataCentres() {
    flushAll();
    nowMillis += TimeUnit.MINUTES.toMillis(14);
    helsinki.flush(nowMillis);
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

  // Guards against joined intervals that fall into a window they do not belong to, or get lost.
  @Test
  void joiningOldIntervalsKeepsTheWindows() {
    ObjectiveCounts exact = ObjectiveCounts.empty("kiosk");
    long start = nowMillis - TimeUnit.DAYS.toMillis(20);
    for (long at = start; at <= nowMillis; at += TimeUnit.MINUTES.toMillis(13)) {
      exact = exact.with(at, FAILED);
    }
    ObjectiveCounts joined = CoarseCounts.of(exact, nowMillis);
    assertThat(CoarseCounts.of(joined, nowMillis), is(joined));
    assertThat(joined.hours().size(), lessThan(exact.hours().size() / 3));
    for (long hours : new long[] {1, 24, 72, 28 * 24}) {
      RequestCounts window = exact.window(nowMillis, TimeUnit.HOURS.toMillis(hours));
      RequestCounts found = joined.window(nowMillis, TimeUnit.HOURS.toMillis(hours));
      assertThat(found.requests(), is(window.requests()));
    }
  }
}
