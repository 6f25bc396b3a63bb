package io.zinniawood.store.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.PoolId;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.VmEntry;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.core.model.VmState;
import io.zinniawood.http.HttpResult;
import io.zinniawood.http.Json;
import io.zinniawood.http.MalformedResponseException;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.VmList;
import io.zinniawood.store.VmListing;
import java.util.concurrent.CompletableFuture;
import okhttp3.HttpUrl;
import okhttp3.Request;

/** HTTP client of the VM list. */
final class HttpVmList implements VmList {
  private final HttpUrl baseUrl;
  private final PlatformServiceCalls calls;

  HttpVmList(HttpUrl baseUrl, PlatformServiceCalls calls) {
    this.baseUrl = baseUrl;
    this.calls = calls;
  }

  @Override
  public CompletableFuture<Either<PlatformError, VmListing>> read() {
    Request.Builder request = new Request.Builder().url(PlatformHttp.url(baseUrl, "vms")).get();
    return PlatformResponses.decode(calls.send(request), HttpVmList::decode);
  }

  static Either<PlatformError, VmListing> decode(HttpResult.Response response)
      throws MalformedResponseException {
    if (response.status() != 200) {
      return PlatformResponses.failure(response);
    }
    JsonNode root = Json.parseObject(response.body());
    Vector<VmEntry> vms = Vector.empty();
    for (JsonNode item : Json.arrayField(root, "vms")) {
      vms = vms.append(decodeEntry(item));
    }
    return Either.right(new VmListing(Json.longField(root, "version"), vms));
  }

  private static VmEntry decodeEntry(JsonNode item) throws MalformedResponseException {
    try {
      return new VmEntry(
          new VmId(Json.stringField(item, "vm")),
          VmRole.valueOf(Json.stringField(item, "role")),
          VmState.valueOf(Json.stringField(item, "state")),
          new DataCentreId(Json.stringField(item, "dataCentre")),
          new PoolId(Json.stringField(item, "pool")),
          new NodeAddress(
              Json.stringField(item, "host"), Math.toIntExact(Json.longField(item, "port"))));
    } catch (IllegalArgumentException | ArithmeticException exception) {
      throw new MalformedResponseException(
          "invalid VM list entry: " + exception.getMessage(), exception);
    }
  }
}
