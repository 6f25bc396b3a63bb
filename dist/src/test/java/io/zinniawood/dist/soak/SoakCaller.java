package io.zinniawood.dist.soak;

import io.zinniawood.dist.soak.SoakCluster.Relay;
import io.zinniawood.dist.users.HttpMessageReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.ToIntFunction;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.Buffer;
import okio.BufferedSource;

/** Sends requests through the caller proxies and checks the responses. */
final class SoakCaller implements AutoCloseable {
  private static final int STREAM_EVENTS = 40;
  private static final long READ_TIMEOUT_SECONDS = 5;

  private final SoakCluster cluster;
  private final Violations violations;
  private final LedgerCheck ledgerCheck;
  private final AtomicLong lastId = new AtomicLong();
  private final Map<String, Integer> refusalStatuses = new ConcurrentHashMap<>();
  private final Map<String, RequestKind> sentKinds = new ConcurrentHashMap<>();
  private final Map<String, Integer> newestKeyByProcess = new ConcurrentHashMap<>();
  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .retryOnConnectionFailure(false)
          .readTimeout(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS)
          .build();

  /** Kinds of request, with the largest number of times that endpoints may run one. */
  enum RequestKind {
    ASK("/ask/", 2),
    BOOK("/book/", 1),
    READ("/read/", 2);

    final String path;
    final int maxRuns;

    RequestKind(String path, int maxRuns) {
      this.path = path;
      this.maxRuns = maxRuns;
    }
  }

  SoakCaller(SoakCluster cluster, Violations violations) {
    this.cluster = cluster;
    this.violations = violations;
    ledgerCheck = new LedgerCheck(violations);
  }

  /** Returns the id of a new request. */
  String newRequest(RequestKind kind) {
    String id = "soak-" + lastId.incrementAndGet();
    sentKinds.put(id, kind);
    return id;
  }

  /**
   * Returns the body of a request. It differs from those of other requests, as relays hold back
   * requests like the ones at which endpoints have crashed.
   */
  static String body(String id) {
    return "{\"ask\":\"%s\"}".formatted(id);
  }

  /**
   * Sends one request, a GET straight to the relay and others through its proxy, and returns the
   * HTTP status, or 0 if there was no complete response.
   */
  int call(Relay relay, SoakRequest form, int keyVersion) {
    RequestKind kind = form.kind();
    String id = newRequest(kind);
    String relayProcess = relay.number + "/" + relay.incarnation.get();
    int newestBefore = newestKeyByProcess.getOrDefault(relayProcess, 0);
    String path = kind.path + id;
    Request request =
        new Request.Builder()
            .url(form.get() ? relay.directUrl(path) : relay.url(path))
            .header("Attempt-Id", id)
            .header("Authorization", "Token " + SoakCluster.key(keyVersion))
            .header("Deadline-Ms", Integer.toString(form.limitMillis()))
            .header("Token-Counts", "100,40")
            .method(
                form.get() ? "GET" : "POST",
                form.get() ? null : RequestBody.create(body(id), MediaType.get("application/json")))
            .build();
    try (Response response = client.newCall(request).execute()) {
      checkResponse(id, kind, response);
      if (response.isSuccessful()
          && relayProcess.equals(relay.number + "/" + relay.incarnation.get())) {
        violations.check(
            keyVersion >= newestBefore,
            "relay %s accepted key %d after it had accepted the newer key %d"
                .formatted(relayProcess, keyVersion, newestBefore));
        newestKeyByProcess.merge(relayProcess, keyVersion, Math::max);
      }
      return response.code();
    } catch (IOException incomplete) {
      // Expected, as faults cut connections; checkRuns checks how often the request ran.
      return 0;
    }
  }

  private void checkResponse(String id, RequestKind kind, Response response) throws IOException {
    int status = response.code();
    if (status == 503 || status == 429) {
      refusalStatuses.put(id, status);
      violations.check(
          response.header("Retry-After") != null,
          id + " was refused with status " + status + " without Retry-After");
      checkFailure(id, response);
    } else if (status == 200) {
      violations.check(
          id.equals(response.header("Attempt-Id")),
          id + " got a response with Attempt-Id " + response.header("Attempt-Id"));
      violations.check(
          response.header("Replica-Signature") != null,
          id + " got a response without Replica-Signature");
      if (kind == RequestKind.ASK) {
        checkStream(id, response.body().source());
        ledgerCheck.receivedStream(id, response.header("Replica-Signature"));
      } else {
        byte[] body = response.body().bytes();
        checkBody(id, body);
        ledgerCheck.receivedPlain(id, status, response.header("Replica-Signature"), body);
      }
    } else {
      checkFailure(id, response);
    }
  }

  private void checkFailure(String id, Response response) throws IOException {
    ledgerCheck.receivedPlain(
        id, response.code(), response.header("Replica-Signature"), response.body().bytes());
  }

  private void checkBody(String id, byte[] body) {
    String text = new String(body, StandardCharsets.UTF_8);
    violations.check(
        text.contains("\"request\":\"" + id + "\""), id + " got a body without its id: " + text);
  }

  /** Checks a complete response on a kept connection. */
  void checkKept(String id, RequestKind kind, HttpMessageReader.Head head, byte[] body)
      throws IOException {
    int status = Integer.parseInt(head.startLine().split(" ")[1]);
    String signature = head.header("replica-signature");
    String answeredId = head.header("attempt-id");
    violations.check(
        id.equals(answeredId) || status != 200 && answeredId == null,
        id + " got a response with Attempt-Id " + answeredId + " on a kept connection");
    if (status == 503 || status == 429) {
      refusalStatuses.put(id, status);
    }
    violations.check(
        status != 200 || signature != null, id + " got a response without Replica-Signature");
    if (status == 200 && kind == RequestKind.ASK) {
      checkStream(id, new Buffer().write(body));
      ledgerCheck.receivedStream(id, signature);
      return;
    }
    if (status == 200) {
      checkBody(id, body);
    }
    ledgerCheck.receivedPlain(id, status, signature, body);
  }

  private void checkStream(String id, BufferedSource source) throws IOException {
    int events = 0;
    List<String> lines = new ArrayList<>();
    while (true) {
      // Throws if the connection is cut; a response cut in this way need not have all events.
      String line = source.readUtf8Line();
      if (line == null) {
        violations.check(
            events == STREAM_EVENTS && lines.isEmpty(),
            "%s: stream ended without an error after %d of %d events, incomplete event %s"
                .formatted(id, events, STREAM_EVENTS, lines));
        return;
      }
      if (!line.isEmpty()) {
        lines.add(line);
        continue;
      }
      events++;
      violations.check(
          lines.equals(List.of("id: " + events, "data: token " + events)),
          id + ": event " + events + " has the lines " + lines);
      lines.clear();
    }
  }

  /**
   * Checks how often endpoints ran each request, that a refused request has never run, and the
   * answers against the ledgers.
   */
  void checkRuns() {
    List<String[]> ledger = cluster.ledger();
    Map<String, Integer> recordedRuns = LedgerCheck.runs(ledger);
    ToIntFunction<String> runs = id -> cluster.runs(id) + recordedRuns.getOrDefault(id, 0);
    sentKinds.forEach(
        (id, kind) ->
            violations.check(
                runs.applyAsInt(id) <= kind.maxRuns,
                "%s %s ran %d times".formatted(kind, id, runs.applyAsInt(id))));
    refusalStatuses.forEach(
        (id, status) ->
            violations.check(
                runs.applyAsInt(id) == 0,
                id + " was refused with status " + status + " but has run"));
    ledgerCheck.check(ledger, id -> cluster.runs(id) > 0);
    violations.check(
        ledgerCheck.receivedAnswers() > 0, "no answer of an endpoint with a ledger was received");
  }

  int recordedAnswers() {
    return ledgerCheck.receivedAnswers();
  }

  int sentRequests() {
    return sentKinds.size();
  }

  int refusedRequests() {
    return refusalStatuses.size();
  }

  @Override
  public void close() {
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }
}
