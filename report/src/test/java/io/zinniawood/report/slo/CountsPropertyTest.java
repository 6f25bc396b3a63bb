package io.zinniawood.report.slo;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vavr.collection.TreeMap;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

final class CountsPropertyTest {
  private static final String SEED = "20261204";
  private static final long NOW = 1_796_000_000_000L;

  private record Sample(long atEpochMillis, Observation observation) {}

  // Guards against a window that counts a request twice or omits it.
  @Property(tries = 100, seed = SEED)
  void windowsEqualSumsOverTheSamples(@ForAll long seed) {
    Random random = new Random(seed);
    List<Sample> samples = samples(random, 300);
    ObjectiveCounts counts = counts(samples);
    for (long windowMinutes : new long[] {5, 30, 60, 360}) {
      long first = NOW / 60_000 - windowMinutes + 1;
      long expected =
          samples.stream()
              .filter(sample -> sample.atEpochMillis() / 60_000 >= first)
              .filter(sample -> sample.observation().answer() != Observation.Answer.ANSWERED)
              .count();
      assertThat(counts.window(NOW, windowMinutes * 60_000).notAnswered(), is(expected));
    }
    long hours = counts.window(NOW, 28L * 24 * 3_600_000).requests();
    assertThat(hours, is((long) samples.size()));
  }

  // Guards against sums that depend on the order in which entries merge their counts.
  @Property(tries = 100, seed = SEED)
  void sumsDoNotDependOnOrder(@ForAll long seed) {
    Random random = new Random(seed);
    ObjectiveCounts a = counts(samples(random, 50));
    ObjectiveCounts b = counts(samples(random, 50));
    ObjectiveCounts c = counts(samples(random, 50));
    assertThat(a.plus(b).plus(c), equalTo(c.plus(a).plus(b)));
    assertThat(a.plus(b.plus(c)), equalTo(a.plus(b).plus(c)));
  }

  // Guards against double counting of snapshots that are delivered twice, late or out of order.
  @Property(tries = 100, seed = SEED)
  void deliveryOrderAndRepetitionDoNotMatter(@ForAll long seed) {
    Random random = new Random(seed);
    List<CountsSnapshot> snapshots = new ArrayList<>();
    ObjectiveCounts expected = ObjectiveCounts.empty("o");
    for (int source = 0; source < 3; source++) {
      ObjectiveCounts running = ObjectiveCounts.empty("o");
      for (int sequence = 1; sequence <= 4; sequence++) {
        running = running.plus(counts(samples(random, 5)));
        snapshots.add(snapshot("s" + source, sequence, running));
        snapshots.add(snapshot("s" + source, sequence, running));
      }
      expected = expected.plus(running);
    }
    Collections.shuffle(snapshots, random);
    CountsBySource countsBySource = CountsBySource.empty();
    for (CountsSnapshot snapshot : snapshots) {
      countsBySource = countsBySource.offer(snapshot, NOW);
    }
    assertThat(countsBySource.total().get("o"), equalTo(Option.of(expected)));
    CountsBySource retired =
        countsBySource.retireInactive(NOW + CountsBySource.RETIRE_AFTER_MILLIS + 1);
    assertThat(retired.latest().size(), is(0));
    assertThat(retired.total(), equalTo(countsBySource.total()));
  }

  // Guards against a process with a wrong clock whose intervals evict valid ones from the counts.
  @Property(tries = 20, seed = SEED)
  void snapshotsWithFutureIntervalsAreIgnored(@ForAll long seed) {
    ObjectiveCounts future =
        ObjectiveCounts.empty("o").with(NOW + 3_600_000, observation(new Random(seed)));
    CountsBySource countsBySource = CountsBySource.empty().offer(snapshot("s", 1, future), NOW);
    assertThat(countsBySource.latest().isEmpty(), is(true));
  }

  // Guards against unbounded growth of intervals and causes.
  @Property(tries = 5, seed = SEED)
  void intervalsAndCausesAreBounded(@ForAll long seed) {
    ObjectiveCounts counts = ObjectiveCounts.empty("o");
    for (int i = 0; i < 3_000; i++) {
      Observation failed =
          new Observation(
              Observation.Answer.NOT_ANSWERED,
              Observation.Latency.NOT_MEASURED,
              Option.of("cause " + i % 40));
      counts = counts.with(i * 3_600_000L, failed).with(i * 3_600_000L, failed);
    }
    assertThat(counts.minutes().size(), lessThanOrEqualTo(ObjectiveCounts.MAX_MINUTES));
    assertThat(counts.hours().size(), is(ObjectiveCounts.MAX_HOURS));
    RequestCounts all = counts.window(3_000 * 3_600_000L, 92L * 24 * 3_600_000);
    assertThat(all.failureCauses().size(), lessThanOrEqualTo(RequestCounts.MAX_CAUSES));
    assertThat(all.failureCauses().values().sum().longValue(), is(all.notAnswered()));
  }

  // Guards against counts that change in a round trip and against exceptions for corrupted input.
  @Property(tries = 300, seed = SEED)
  void codecPreservesCountsAndNeverThrowsOnCorruptInput(@ForAll long seed) {
    Random random = new Random(seed);
    CountsSnapshot snapshot = snapshot("s", 7, counts(samples(random, 40)));
    byte[] bytes = CountsCodec.encode(snapshot).get();
    assertThat(CountsCodec.decode(bytes), equalTo(Either.right(snapshot)));
    StringBuilder corrupted = new StringBuilder(new String(bytes, StandardCharsets.UTF_8));
    for (int i = 0; i < 1 + random.nextInt(3); i++) {
      int at = random.nextInt(corrupted.length());
      corrupted.replace(at, at + 1 + random.nextInt(5), "]}[{\",-9e".substring(random.nextInt(8)));
    }
    CountsCodec.decode(corrupted.toString().getBytes(StandardCharsets.UTF_8));
    byte[] randomBytes = new byte[random.nextInt(100)];
    random.nextBytes(randomBytes);
    assertThat(CountsCodec.decode(randomBytes).isLeft(), is(true));
  }

  private static CountsSnapshot snapshot(String source, long sequence, ObjectiveCounts counts) {
    return new CountsSnapshot(source, sequence, NOW, TreeMap.of("o", counts));
  }

  private static ObjectiveCounts counts(List<Sample> samples) {
    ObjectiveCounts counts = ObjectiveCounts.empty("o");
    for (Sample sample : samples) {
      counts = counts.with(sample.atEpochMillis(), sample.observation());
    }
    return counts;
  }

  private static List<Sample> samples(Random random, int count) {
    List<Sample> samples = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      long ageMillis = (long) (random.nextDouble() * random.nextInt(10 * 3_600_000));
      samples.add(new Sample(NOW - ageMillis, observation(random)));
    }
    return samples;
  }

  private static Observation observation(Random random) {
    return new Observation(
        pick(random, Observation.Answer.values()),
        pick(random, Observation.Latency.values()),
        random.nextBoolean() ? Option.of("cause " + random.nextInt(4)) : Option.none());
  }

  private static <T> T pick(Random random, T[] values) {
    return values[random.nextInt(values.length)];
  }
}
