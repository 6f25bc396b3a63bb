package io.zinniawood.dist.soak;

import io.zinniawood.dist.users.AnswerLedger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** Compares the answers that callers received as complete with the ledgers of the endpoints. */
final class LedgerCheck {
  private static final int STREAM_EVENTS = 40;

  private final Violations violations;
  private final Queue<Received> received = new ConcurrentLinkedQueue<>();

  /** Complete answer; the checksum of a stream is empty, as its events are checked one by one. */
  private record Received(String request, int status, String signature, String checksum) {}

  /** Answer that an endpoint has recorded. */
  private record Recorded(String kind, String status, String content, boolean whole) {}

  LedgerCheck(Violations violations) {
    this.violations = violations;
  }

  /** Notes a plain answer or a failure that a caller has received as complete. */
  void receivedPlain(String request, int status, String signature, byte[] body) {
    note(new Received(request, status, signature, AnswerLedger.checksum(body)));
  }

  /** Notes a stream that a caller has received as complete, with all events in order. */
  void receivedStream(String request, String signature) {
    note(new Received(request, 200, signature, ""));
  }

  private void note(Received answer) {
    if (answer.signature != null && answer.signature.startsWith(AnswerLedger.SIGNATURE_PREFIX)) {
      received.add(answer);
    }
  }

  /** Returns how often endpoints with a ledger ran each request. */
  static Map<String, Integer> runs(List<String[]> ledger) {
    return ledger.stream()
        .filter(line -> line[0].equals("run"))
        .collect(Collectors.toMap(line -> line[2], line -> 1, Integer::sum));
  }

  /**
   * Checks all answers that were noted.
   *
   * @param ranWithoutLedger whether an endpoint that has no ledger ran the request
   */
  void check(List<String[]> ledger, Predicate<String> ranWithoutLedger) {
    Map<String, Recorded> answers = new HashMap<>();
    Map<String, String> requests = new HashMap<>();
    for (String[] line : ledger) {
      switch (line[0]) {
        case "run" -> requests.put(line[1], line[2]);
        case "plain", "stream" ->
            answers.put(line[1], new Recorded(line[0], line[2], line[3], line[4].equals("whole")));
        default -> {}
      }
    }
    Set<String> streamedToTheEnd =
        answers.entrySet().stream()
            .filter(entry -> entry.getValue().kind.equals("stream"))
            .filter(entry -> entry.getValue().whole && entry.getValue().status.equals("200"))
            .filter(entry -> entry.getValue().content.endsWith("-" + STREAM_EVENTS))
            .filter(entry -> requests.containsKey(entry.getKey()))
            .map(entry -> requests.get(entry.getKey()))
            .collect(Collectors.toSet());
    for (Received answer : received) {
      if (answer.checksum.isEmpty()) {
        violations.check(
            answer.request.equals(requests.get(answer.signature)),
            "ledger: stream " + answer + " is of a run of " + requests.get(answer.signature));
        violations.check(
            streamedToTheEnd.contains(answer.request) || ranWithoutLedger.test(answer.request),
            "ledger: no run ended whole of stream " + answer);
      } else {
        checkPlain(answer, answers.get(answer.signature), requests.get(answer.signature));
      }
    }
  }

  private void checkPlain(Received answer, Recorded recorded, String request) {
    boolean success = answer.status / 100 == 2;
    boolean holds =
        recorded != null
            && recorded.status.equals(Integer.toString(answer.status))
            && (request == null || answer.request.equals(request))
            && (!success
                || request != null && recorded.whole && recorded.content.equals(answer.checksum));
    violations.check(holds, "ledger: received %s, recorded %s".formatted(answer, recorded));
  }

  int receivedAnswers() {
    return received.size();
  }
}
