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

/** HTTP client of the weight store. */
final class HttpWeightStore implements WeightStore {
  private final HttpUrl baseUrl;
  private final PlatformServiceCalls calls;

  HttpWeightStore(HttpUrl baseUrl, PlatformServiceCalls calls) {
    this.baseUrl = baseUrl;
    this.calls = calls;
  }

  private record TransferRequest(String model, String version) {}

  @Override
  public CompletableFuture<Either<PlatformError, TransferDecision>> requestTransfer(
      String model, String version) {
    byte[] body = Json.toBytes(new TransferRequest(model, version));
    Request.Builder request =
        new Request.Builder()
            .url(PlatformHttp.url(baseUrl, "weights/transfers"))
            .post(new OneShotBody(PlatformHttp.JSON, body));
    return PlatformResponses.decode(calls.send(request), HttpWeightStore::decode);
  }

  static Either<PlatformError, TransferDecision> decode(HttpResult.Response response)
      throws MalformedResponseException {
    if (response.status() != 200) {
      return PlatformResponses.failure(response);
    }
    JsonNode root = Json.parseObject(response.body());
    if (Json.booleanField(root, "granted")) {
      return Either.right(new TransferDecision.Granted());
    }
    long retryAfterMillis = Json.longField(root, "retryAfterMillis");
    if (retryAfterMillis < 0) {
      throw new MalformedResponseException(
          "retryAfterMillis must not be negative, found " + retryAfterMillis);
    }
    return Either.right(new TransferDecision.Delayed(retryAfterMillis));
  }
}
