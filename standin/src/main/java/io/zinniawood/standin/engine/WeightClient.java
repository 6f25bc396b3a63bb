package io.zinniawood.standin.engine;

import io.zinniawood.standin.http.DelayTimer;
import io.zinniawood.standin.http.Json;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Requests transfers from the platform's weight store and retries while its limit defers them. */
final class WeightClient {
  private static final MediaType JSON = MediaType.get("application/json");
  private final Optional<URI> platform;
  private final DelayTimer timer;
  private final OkHttpClient client =
      new OkHttpClient.Builder().callTimeout(Duration.ofSeconds(5)).build();

  WeightClient(Optional<URI> platform, DelayTimer timer) {
    this.platform = platform;
    this.timer = timer;
  }

  private record TransferRequest(String model, String version) {}

  private record TransferAnswer(boolean granted, long retryAfterMillis) {}

  /** Completes with true when the transfer may start, with false if the request fails. */
  CompletableFuture<Boolean> requestTransfer(String model, String version) {
    CompletableFuture<Boolean> granted = new CompletableFuture<>();
    if (platform.isEmpty()) {
      granted.complete(true);
    } else {
      Request request =
          new Request.Builder()
              .url(platform.get().resolve("/weights/transfers").toString())
              .post(RequestBody.create(Json.bytes(new TransferRequest(model, version)), JSON))
              .build();
      sendRequest(request, granted);
    }
    return granted;
  }

  void close() {
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }

  private void sendRequest(Request request, CompletableFuture<Boolean> granted) {
    client
        .newCall(request)
        .enqueue(
            new Callback() {
              @Override
              public void onFailure(Call call, IOException failure) {
                granted.complete(false);
              }

              @Override
              public void onResponse(Call call, Response response) {
                try (response) {
                  handleAnswer(request, response, granted);
                } catch (IOException | IllegalArgumentException e) {
                  // A malformed answer fails the load; the controller may order it again.
                  granted.complete(false);
                }
              }
            });
  }

  private void handleAnswer(Request request, Response response, CompletableFuture<Boolean> granted)
      throws IOException {
    if (!response.isSuccessful()) {
      granted.complete(false);
      return;
    }
    TransferAnswer answer = Json.read(response.body().bytes(), TransferAnswer.class);
    if (answer.granted()) {
      granted.complete(true);
    } else {
      timer.afterMillis(answer.retryAfterMillis(), () -> sendRequest(request, granted));
    }
  }
}
