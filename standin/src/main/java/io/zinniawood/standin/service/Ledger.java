package io.zinniawood.standin.service;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Ledger of bookings in the order of their arrival. */
final class Ledger {
  private final List<Entry> entries = new ArrayList<>();
  private final Map<String, Integer> byReference = new TreeMap<>();

  /**
   * A booking.
   *
   * @param entry number of the entry, from 1
   * @param kind {@code credit} or {@code order}
   * @param reference field {@code reference} of the body, empty if it has none
   */
  record Entry(long entry, String kind, String reference) {}

  /** All bookings, and the number of bookings for each reference. */
  record Report(List<Entry> entries, Map<String, Integer> byReference) {}

  synchronized Entry book(String kind, String reference) {
    Entry entry = new Entry(entries.size() + 1L, kind, reference);
    entries.add(entry);
    byReference.merge(reference, 1, Integer::sum);
    return entry;
  }

  synchronized int bookings(String reference) {
    return byReference.getOrDefault(reference, 0);
  }

  synchronized Report report() {
    return new Report(List.copyOf(entries), new TreeMap<>(byReference));
  }
}
