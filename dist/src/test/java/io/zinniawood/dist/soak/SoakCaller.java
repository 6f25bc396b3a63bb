package io.zinniawood.dist.soak;

import io.zinniawood.dist.soak.SoakCluster.Relay;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;

/** Sends requests through the caller proxies and checks what comes back. */
final class SoakCaller implements AutoCloseable {
  private static final int STREAM_EVENTS = 40;
  private static final long READ_TIMEOUT_SECONDS = 5;

  private final SoakCluster cluster;
  private final Violations violations;
  private final AtomicLong lastId = new AtomicLong();
  private final Map<String, Integer> refusalStatuses = new ConcurrentHashMap<>();
  private final Map<String, RequestKind> sentKinds = new ConcurrentHashMap<>();
  private final Map<String, Integer> newestKeyByProcess = new ConcurrentHashMap<>();
  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .retryOnConnectionFailure(false)
          .readTimeout(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS)
          .build();

  /** Kinds of request, with the most endpoints that may run one. */
  enum RequestKind {
    ASK("/ask/x", 2),
    BOOK("/book/x", 1),
    READ("/read/x", 2);

    final String path;
    final int maxRuns;

    RequestKind(String path, int mostRuns) {
      this.path = path;
      this.maxRuns = mostRuns;
    }
  }

  SoakCaller(SoakCluster cluster, Violations violations) {
    this.cluster = cluster;
    this.violations = violations;
  }

  /** Sends one request and returns its status; 0 if there was no answer. */
  int call(Relay relay, RequestKind kind, int keyVersion) {
    String id = "soak-" + lastId.incrementAndGet();
    sentKinds.put(id, kind);
    String start = relay.number + "/" + relay.incarnation.get();
    int newestBefore = newestKeyByProcess.getOrDefault(start, 0);
    Request request =
        new Request.Builder()
            .url(relay.url(kind.path))
            .header("Attempt-Id", id)
            .header("Authorization", "Token " + SoakCluster.key(keyVersion))
            .header("Deadline-Ms", "6000")
            .header("Token-Counts", "100,40")
            .post(RequestBody.create("{}", MediaType.get("application/json")))
            .build();
    try (Response response = client.newCall(request).execute()) {
      checkResponse(id, kind, response);
      if (response.isSuccessful() && start.equals(relay.number + "/" + relay.incarnation.get())) {
        violations.check(
            keyVersion >= newestBefore,
            "relay %s took key %d after version %d was in force"
                .formatted(start, keyVersion, newestBefore));
        newestKeyByProcess.merge(start, keyVersion, Math::max);
      }
      return response.code();
    } catch (IOException noAnswer) {
      // Faults cut connections; what the request did is checked by its runs.
      return 0;
    }
  }

  private void checkResponse(String id, RequestKind kind, Response response) throws IOException {
    int status = response.code();
    if (status == 503 || status == 429) {
      refusalStatuses.put(id, status);
      violations.check(
          response.header("Retry-After") != null, id + " was refused without Retry-After");
    } else if (status == 200) {
      violations.check(
          id.equals(response.header("Attempt-Id")), id + " got the answer of another request");
      violations.check(
          response.header("Replica-Signature") != null, id + " got an answer without signature");
      if (kind == RequestKind.ASK) {
        checkStream(id, response.body().source());
      } else {
        String body = response.body().string();
        violations.check(body.contains("\"request\":\"" + id + "\""), id + " got the body " + body);
      }
    }
  }

  private void checkStream(String id, BufferedSource source) throws IOException {
    int events = 0;
    List<String> lines = new ArrayList<>();
    while (true) {
      // Throws if the stream is cut, which is no complete answer and needs no last event.
      String line = source.readUtf8Line();
      if (line == null) {
        violations.check(
            events == STREAM_EVENTS && lines.isEmpty(),
            id + " ended in good form after event " + events);
        return;
      }
      if (!line.isEmpty()) {
        lines.add(line);
        continue;
      }
      events++;
      violations.check(
          lines.equals(List.of("id: " + events, "data: token " + events)),
          id + " got " + lines + " as event " + events);
      lines.clear();
    }
  }

  /** Checks the runs of all requests; a refused one must not have run, whenever that is checked. */
  void checkRuns() {
    sentKinds.forEach(
        (id, kind) ->
            violations.check(
                cluster.runs(id) <= kind.maxRuns,
                "%s %s ran %d times".formatted(kind, id, cluster.runs(id))));
    refusalStatuses.forEach(
        (id, status) ->
            violations.check(
                cluster.runs(id) == 0, id + " was refused with " + status + " but has run"));
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
