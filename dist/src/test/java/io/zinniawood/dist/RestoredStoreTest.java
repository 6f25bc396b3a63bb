package io.zinniawood.dist;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;

/** Tests calls with idempotency keys and edits while the store comes back from a copy. */
final class RestoredStoreTest {
  private static final List<String> SERVICE_IDS = List.of("c-1", "c-2");
  private static final List<String> ENTRY_IDS = List.of("entry-1", "entry-2");
  private static final int AWAY_MILLIS = 1_000;

  /** Makes sure that the copy is older than the edit, and younger than the one before. */
  private static final int COPY_MARGIN_MILLIS = 200;

  private final Caller caller = new Caller();
  private ProcessCluster cluster;

  @BeforeEach
  void startCluster(TestInfo test) {
    cluster = new ProcessCluster(test.getTestMethod().get().getName());
    SERVICE_IDS.forEach(cluster::addService);
    ENTRY_IDS.forEach(cluster::addEntry);
    ENTRY_IDS.forEach(id -> caller.awaitCreditServiceReady(cluster.entry(id)));
  }

  @AfterEach
  void closeCluster() {
    cluster.close();
  }

  private int bookings(String key) {
    return SERVICE_IDS.stream().mapToInt(id -> cluster.endpoint(id).service().bookings(key)).sum();
  }

  private Caller.Answer models(String entryId) {
    return caller.get(cluster.entry(entryId).callersUri(), "/v1/models");
  }

  private boolean allListModel(String model) {
    return ENTRY_IDS.stream().allMatch(id -> lists(models(id), model));
  }

  private static boolean lists(Caller.Answer models, String model) {
    return models.body().path("data").findValuesAsText("id").contains(model);
  }

  private void putModelFile(String file, String model) {
    cluster.putConfigurationFile(file, "[models.%s]\nlayers = 4\n".formatted(model));
  }

  private int credit(int number) {
    ProcessCluster.Entry entry = cluster.entry(ENTRY_IDS.get(number % 2));
    return caller.credit(entry, "key-" + number / 2, 500).status();
  }

  // Guards against second bookings and older configurations after the store lost what it had
  // acknowledged.
  @Test
  void restoredStoreCausesNoSecondBookingAndNoOlderConfiguration() throws Exception {
    putModelFile("20-brief.toml", "brief");
    Caller.await(() -> allListModel("brief"));
    // Keeps the first edit out of the seconds that are lost.
    Thread.sleep(1_000);
    long lostFromNanos = System.nanoTime();
    putModelFile("21-summary.toml", "summary");
    Caller.await(() -> allListModel("summary"));
    AtomicBoolean running = new AtomicBoolean(true);
    List<String> wentBack = new ArrayList<>();
    CompletableFuture<Void> watch =
        CompletableFuture.runAsync(
            () -> {
              while (running.get()) {
                for (String id : ENTRY_IDS) {
                  Caller.Answer answer = models(id);
                  if (!lists(answer, "summary")) {
                    wentBack.add(
                        "%d %s answered %s".formatted(System.currentTimeMillis(), id, answer));
                  }
                }
              }
            });
    int calls = 0;
    while (calls < 20) {
      credit(2 * calls++);
    }
    long lostMillis =
        TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lostFromNanos) + COPY_MARGIN_MILLIS;
    cluster.platform().restore(lostMillis, AWAY_MILLIS);
    for (int number = 0; number < 2 * calls; number++) {
      int repeated = number;
      Caller.await(() -> credit(repeated) == 201);
    }
    putModelFile("22-notes.toml", "notes");
    Caller.await(() -> allListModel("notes"));
    putModelFile("21-summary.toml", "summary");
    running.set(false);
    watch.join();
    assertThat(cluster.platform().storeEra(), is(1L));
    assertThat(wentBack, empty());
    for (int key = 0; key < calls; key++) {
      assertThat("bookings of key-" + key, bookings("key-" + key), lessThanOrEqualTo(1));
    }
  }
}
