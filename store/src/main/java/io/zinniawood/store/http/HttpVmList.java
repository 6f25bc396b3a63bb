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
import io.zinniawood.http.JsonElements;
import io.zinniawood.http.MalformedResponseException;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.VmList;
import io.zinniawood.store.VmListing;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import okhttp3.HttpUrl;
import okhttp3.Request;

/** HTTP client of the VM list. */
final class HttpVmList implements VmList {
  private static final Logger LOGGER = System.getLogger("io.zinniawood.store");
  private static final int MAX_LOGGED_CHARACTERS = 200;

  private final AtomicReference<List<String>> loggedFaults = new AtomicReference<>(List.of());
  private final HttpUrl baseUrl;
  private final PlatformServiceCalls calls;

  HttpVmList(HttpUrl baseUrl, PlatformServiceCalls calls) {
    this.baseUrl = baseUrl;
    this.calls = calls;
  }

  @Override
  public CompletableFuture<Either<PlatformError, VmListing>> read() {
    Request.Builder request = new Request.Builder().url(PlatformHttp.url(baseUrl, "vms")).get();
    return PlatformResponses.decode(
        calls.send(request), response -> decode(response, this::logIgnored));
  }

  /**
   * Decodes a list. An entry that cannot be read names no VM, and the others hold.
   *
   * @param ignored receives what was wrong with the entries that were ignored
   */
  static Either<PlatformError, VmListing> decode(
      HttpResult.Response response, Consumer<List<String>> ignored)
      throws MalformedResponseException {
    if (response.status() != 200) {
      return PlatformResponses.failure(response);
    }
    JsonElements list = JsonElements.parse(response.body(), "vms");
    Vector<VmEntry> vms = Vector.empty();
    List<String> faults = new ArrayList<>();
    for (byte[] element : list.elements()) {
      try {
        vms = vms.append(decodeEntry(Json.parseObject(element)));
      } catch (MalformedResponseException exception) {
        faults.add(exception.getMessage());
      }
    }
    if (list.otherElements() > 0) {
      faults.add(list.otherElements() + " entries are no JSON objects");
    }
    VmListing listing = new VmListing(Json.longField(list.object(), "version"), vms);
    ignored.accept(faults);
    return Either.right(listing);
  }

  /** Logs entries that were ignored, unless they are those of the read before. */
  private void logIgnored(List<String> faults) {
    if (!faults.equals(loggedFaults.getAndSet(faults)) && !faults.isEmpty()) {
      LOGGER.log(
          Level.WARNING,
          "{0} entries of the VM list are ignored, the first one: {1}",
          faults.size(),
          shortened(faults.get(0)));
    }
  }

  private static String shortened(String text) {
    return text.substring(0, Math.min(text.length(), MAX_LOGGED_CHARACTERS));
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
