package io.zinniawood.standin.platform;

import io.zinniawood.standin.http.Reply;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Table and objects with their era, which rises by one each time an earlier state is restored. Each
 * request and each restore takes effect as a whole.
 */
final class StoreState {
  /** Header with the era, in all answers of the table and the object store. */
  static final String ERA_HEADER = "Store-Era";

  private final VersionedStore table = new VersionedStore();
  private final VersionedStore objects = new VersionedStore();
  private long era;
  private long awayUntilNanos = System.nanoTime();

  VersionedStore table() {
    return table;
  }

  VersionedStore objects() {
    return objects;
  }

  synchronized long era() {
    return era;
  }

  /** Executes a request and adds the era in which it took effect to the reply. */
  synchronized Reply inPresentEra(Supplier<Reply> action) {
    return action.get().withHeader(ERA_HEADER, Long.toString(era));
  }

  /** Returns whether the store is away after a restore. */
  synchronized boolean away() {
    return System.nanoTime() - awayUntilNanos < 0;
  }

  /**
   * Restores an earlier state and refuses all requests for some time.
   *
   * @return the new era
   */
  synchronized long restore(long ageMillis, long awayMillis) {
    if (ageMillis < 0 || ageMillis > VersionedStore.MAX_AGE_MILLIS || awayMillis < 0) {
      throw new IllegalArgumentException(
          "ageMillis must be from 0 to %d and awayMillis at least 0"
              .formatted(VersionedStore.MAX_AGE_MILLIS));
    }
    long nowNanos = System.nanoTime();
    long atNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis);
    table.restore(atNanos);
    objects.restore(atNanos);
    awayUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(awayMillis);
    era++;
    return era;
  }
}
