package io.zinniawood.core.load;

import io.zinniawood.core.fleet.TrackedEndpoint;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the endpoints that a notice names. Half of the room goes to the largest changes, and half
 * to the endpoints that were named longest ago, so that changes cannot keep the others from being
 * repeated.
 */
final class NoticeEntries {
  private final Map<Integer, Sent> sentByEndpoint = new HashMap<>();

  private record Sent(LoadFigures figures, long sentNanos) {}

  /**
   * Endpoint that a notice may name.
   *
   * @param service index of its service in the notice
   * @param endpoint hash of its id
   * @param change size of the change since it was named last
   * @param ageNanos time since it was named last; the maximum if others do not know its figures
   */
  record Candidate(int service, int endpoint, LoadFigures figures, long change, long ageNanos) {}

  /** Returns the current figures of an endpoint. */
  static LoadFigures figures(TrackedEndpoint endpoint) {
    return LoadFigures.ofTokens(
        endpoint.inFlight(), endpoint.tokensInFlight(), endpoint.promptTokensInFlight());
  }

  /** Returns the endpoints of a service that have requests, or had when they were named last. */
  List<Candidate> candidates(int service, List<TrackedEndpoint> endpoints, long nowNanos) {
    List<Candidate> candidates = new ArrayList<>();
    for (TrackedEndpoint endpoint : endpoints) {
      LoadFigures figures = figures(endpoint);
      Sent sent = sentByEndpoint.get(endpoint.loadHash());
      LoadFigures known = sent == null ? LoadFigures.NONE : sent.figures();
      if (!figures.isZero() || !known.isZero()) {
        long age = sent == null ? Long.MAX_VALUE : nowNanos - sent.sentNanos();
        candidates.add(
            new Candidate(service, endpoint.loadHash(), figures, known.changeTo(figures), age));
      }
    }
    return candidates;
  }

  /** Selects candidates that together fit into a number of bytes. */
  static List<Candidate> select(List<Candidate> candidates, int maxBytes) {
    List<Candidate> byChange = new ArrayList<>(candidates);
    byChange.sort(
        Comparator.comparingLong(Candidate::change)
            .reversed()
            .thenComparing(Comparator.comparingLong(Candidate::ageNanos).reversed()));
    List<Candidate> byAge = new ArrayList<>(candidates);
    byAge.sort(Comparator.comparingLong(Candidate::ageNanos).reversed());
    Map<Integer, Candidate> selected = new HashMap<>();
    List<Candidate> inOrder = new ArrayList<>();
    int bytes = 0;
    int nextChange = 0;
    int nextAge = 0;
    while (inOrder.size() < candidates.size()) {
      boolean change = inOrder.size() % 2 == 0 && nextChange < byChange.size();
      Candidate next =
          change || nextAge >= byAge.size() ? byChange.get(nextChange++) : byAge.get(nextAge++);
      if (selected.containsKey(next.endpoint())) {
        continue;
      }
      bytes += LoadNoticeSize.entryBytes(next.figures());
      if (bytes > maxBytes) {
        break;
      }
      selected.put(next.endpoint(), next);
      inOrder.add(next);
    }
    return inOrder;
  }

  /** Records that a notice names endpoints, and forgets what other relays have forgotten. */
  void sent(List<Candidate> named, long nowNanos) {
    for (Candidate candidate : named) {
      sentByEndpoint.put(candidate.endpoint(), new Sent(candidate.figures(), nowNanos));
    }
    sentByEndpoint
        .values()
        .removeIf(sent -> nowNanos - sent.sentNanos() >= FleetLoad.VALIDITY_NANOS);
  }
}
