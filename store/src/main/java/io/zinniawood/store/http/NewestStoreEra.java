package io.zinniawood.store.http;

import io.zinniawood.core.model.PackedStoreVersion;
import io.zinniawood.http.HttpResult.Response;
import io.zinniawood.http.MalformedResponseException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;

/** Newest era of the store in any answer. Thread-safe. */
final class NewestStoreEra {
  static final String HEADER = "Store-Era";
  private static final Logger LOGGER = System.getLogger("io.zinniawood.store");

  private final List<LongConsumer> listeners = new ArrayList<>();
  private long newest;

  /** Returns the newest era in any answer, 0 before the first answer that states one. */
  synchronized long newest() {
    return newest;
  }

  /**
   * Adds a listener, which is called with each newer era before any answer of that era is passed
   * on; must not block.
   */
  synchronized void onNewer(LongConsumer listener) {
    listeners.add(listener);
    if (newest > 0) {
      listener.accept(newest);
    }
  }

  /** Reads the era of an answer; a malformed one fails when the answer is decoded. */
  void observe(Response response) {
    try {
      observe(of(response));
    } catch (MalformedResponseException malformed) {
      LOGGER.log(Level.WARNING, "ignored an answer of the store: {0}", malformed.getMessage());
    }
  }

  private synchronized void observe(long era) {
    if (era <= newest) {
      return;
    }
    LOGGER.log(
        Level.WARNING,
        "store era is {0}, was {1}: acknowledged writes may be lost, versions are given out again",
        Long.toString(era),
        Long.toString(newest));
    newest = era;
    listeners.forEach(listener -> listener.accept(era));
  }

  /** Returns the era of an answer, 0 if it states none. */
  static long of(Response response) throws MalformedResponseException {
    String value = response.headers().get(HEADER);
    if (value == null) {
      return 0;
    }
    try {
      long era = Long.parseLong(value);
      if (era >= 0 && era <= PackedStoreVersion.MAX_ERA) {
        return era;
      }
    } catch (NumberFormatException exception) {
      throw new MalformedResponseException("era is not an integer: " + value, exception);
    }
    throw new MalformedResponseException("era is out of range: " + value);
  }
}
