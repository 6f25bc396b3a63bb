package io.zinniawood.store.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import io.zinniawood.http.HttpResult;
import io.zinniawood.http.Json;
import io.zinniawood.http.MalformedResponseException;
import io.zinniawood.http.OneShotBody;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.WeightStore;
import java.util.concurrent.CompletableFuture;
import okhttp3.HttpUrl;
import okhttp3.Request;

/** The weight store over HTTP. */
final class HttpWeightStore implements WeightStore {
  private final HttpUrl base;
  private final GuardedCalls calls;

  HttpWeightStore(HttpUrl base, GuardedCalls calls) {
    this.base = base;
    this.calls = calls;
  }

  private record TransferRequest(String model, String version) {}

  @Override
  public CompletableFuture<Either<PlatformError, TransferGrant>> requestTransfer(
      String model, String version) {
    byte[] body = Json.toBytes(new TransferRequest(model, version));
    Request.Builder request =
        new Request.Builder()
            .url(Paths.path(base, "weights/transfers"))
            .post(new OneShotBody(Paths.JSON, body));
    return PlatformResponses.decode(calls.send(request), HttpWeightStore::decode);
  }

  static Either<PlatformError, TransferGrant> decode(HttpResult.Response response)
      throws MalformedResponseException {
    if (response.status() != 200) {
      return PlatformResponses.failure(response);
    }
    JsonNode root = Json.parseObject(response.body());
    if (Json.booleanField(root, "granted")) {
      return Either.right(new TransferGrant.Granted());
    }
    long retryAfterMillis = Json.longField(root, "retryAfterMillis");
    if (retryAfterMillis < 0) {
      throw new MalformedResponseException("retryAfterMillis is negative: " + retryAfterMillis);
    }
    return Either.right(new TransferGrant.Delayed(retryAfterMillis));
  }
}
