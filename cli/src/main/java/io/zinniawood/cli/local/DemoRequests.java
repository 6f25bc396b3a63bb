package io.zinniawood.cli.local;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Sends one request of each kind to a local cluster and prints the responses. */
public final class DemoRequests {
  private static final long READY_TIMEOUT_SECONDS = 30;
  private static final MediaType JSON = MediaType.get("application/json");

  private final LocalCluster cluster;
  private final PrintStream out;
  private final OkHttpClient client =
      new OkHttpClient.Builder().readTimeout(40, TimeUnit.SECONDS).build();
  private boolean allAsExpected = true;

  /** Creates the requests; responses are printed to {@code out}. */
  public DemoRequests(LocalCluster cluster, PrintStream out) {
    this.cluster = cluster;
    this.out = out;
  }

  /** Sends the requests and returns whether each response had the expected status. */
  public boolean run() throws InterruptedException {
    if (!awaitReady()) {
      out.println("The system did not become ready within 30 s.");
      return false;
    }
    send("Kiosk assistant, whole answer", chat(DemoPlan.KIOSK_KEY, "whole"), 200);
    send("Route brief, streamed", chat(DemoPlan.DISPATCH_KEY, "streamed"), 200);
    send("Coin credit", credit(0), 201);
    send("Coin credit, same key through another entry", credit(1), 201);
    send("Bin status", get("/services/refill/bins/b-17"), 200);
    send("Unknown model", unknownModel(), 404);
    return allAsExpected;
  }

  private boolean awaitReady() throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
    while (System.nanoTime() < endNanos) {
      if (ready()) {
        return true;
      }
      TimeUnit.MILLISECONDS.sleep(100);
    }
    return false;
  }

  private boolean ready() {
    for (int entry = 0; entry < cluster.entries().size(); entry++) {
      Request request = chat(entry, DemoPlan.KIOSK_KEY, "whole");
      try (Response response = client.newCall(request).execute()) {
        if (response.code() != 200) {
          return false;
        }
      } catch (IOException notListening) {
        return false;
      }
    }
    return true;
  }

  private Request chat(String key, String mode) {
    return chat(0, key, mode);
  }

  private Request chat(int entry, String key, String mode) {
    String body =
        """
        {"model": "assistant", "stream": %s, "max_tokens": 8,
         "messages": [{"role": "user", "content": "Why was my coin rejected?"}]}
        """
            .formatted(mode.equals("streamed"));
    return requestBuilder(cluster.callersUri(entry), "/v1/chat/completions", key)
        .post(RequestBody.create(body, JSON))
        .build();
  }

  private Request unknownModel() {
    return requestBuilder(cluster.callersUri(0), "/v1/chat/completions", DemoPlan.KIOSK_KEY)
        .post(
            RequestBody.create(
                "{\"model\": \"none\", \"messages\": [{\"role\": \"user\", \"content\": \"x\"}]}",
                JSON))
        .build();
  }

  private Request credit(int entry) {
    String body = "{\"reference\": \"jar-1\", \"amount_cents\": 1250}";
    return requestBuilder(cluster.callersUri(entry), "/services/credit/credits", DemoPlan.KIOSK_KEY)
        .header("Idempotency-Key", "jar-1")
        .post(RequestBody.create(body, JSON))
        .build();
  }

  private Request get(String path) {
    return requestBuilder(cluster.callersUri(0), path, DemoPlan.DISPATCH_KEY).get().build();
  }

  private static Request.Builder requestBuilder(URI base, String path, String key) {
    return new Request.Builder()
        .url(base.resolve(path).toString())
        .header("Authorization", "Bearer " + key);
  }

  private void send(String title, Request request, int expectedStatus) {
    long startNanos = System.nanoTime();
    try (Response response = client.newCall(request).execute()) {
      String body = response.body() == null ? "" : response.body().string();
      long millis = (System.nanoTime() - startNanos) / 1_000_000;
      out.printf("%n%s: status %d in %d ms%n", title, response.code(), millis);
      out.println(body.strip());
      allAsExpected &= response.code() == expectedStatus;
    } catch (IOException failure) {
      out.printf("%n%s: no answer: %s%n", title, failure.getMessage());
      allAsExpected = false;
    }
  }
}
