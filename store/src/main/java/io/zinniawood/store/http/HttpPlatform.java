package io.zinniawood.store.http;

import io.zinniawood.http.ConfirmedCalls;
import io.zinniawood.http.HttpCallSettings;
import io.zinniawood.http.HttpCalls;
import io.zinniawood.store.ObjectStore;
import io.zinniawood.store.Table;
import io.zinniawood.store.VmList;
import io.zinniawood.store.WeightStore;
import java.net.URI;
import java.util.Objects;
import java.util.SplittableRandom;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;

/**
 * HTTP clients of the platform services. Each call sends at most one request; requests are not
 * retried and redirects are not followed. The HTTP interface is described in {@code
 * docs/standins.md}.
 */
public final class HttpPlatform {
  private final HttpTable table;
  private final HttpObjectStore objectStore;
  private final HttpVmList vmList;
  private final HttpWeightStore weightStore;

  /**
   * Creates the clients with default settings.
   *
   * @param baseUri base URI of all services, for example {@code http://127.0.0.1:8080}
   * @param client HTTP client whose connection pool and threads are used
   */
  public HttpPlatform(URI baseUri, OkHttpClient client) {
    this(baseUri, client, HttpPlatformSettings.defaults());
  }

  /**
   * Creates the clients.
   *
   * @param baseUri base URI of all services, for example {@code http://127.0.0.1:8080}
   * @param client HTTP client whose connection pool and threads are used
   * @param settings timeouts and limits
   * @throws IllegalArgumentException if the URI is not an HTTP URI
   */
  public HttpPlatform(URI baseUri, OkHttpClient client, HttpPlatformSettings settings) {
    HttpUrl baseUrl = HttpUrl.get(Objects.requireNonNull(baseUri, "baseUri"));
    if (baseUrl == null) {
      throw new IllegalArgumentException("platform URI is not an HTTP URI: " + baseUri);
    }
    HttpCallSettings callSettings =
        new HttpCallSettings(
            settings.connectTimeoutMillis(),
            settings.maxResponseBytes(),
            settings.maxConcurrentCalls());
    HttpCalls calls = HttpCalls.withRequestIds(client, callSettings);
    ConfirmedCalls confirmed = new ConfirmedCalls(calls, client, callSettings);
    NewestStoreEra era = new NewestStoreEra();
    this.table = new HttpTable(baseUrl, createCalls(calls, confirmed, settings, era, "table"), era);
    this.objectStore =
        new HttpObjectStore(baseUrl, createCalls(calls, confirmed, settings, era, "object store"));
    this.vmList = new HttpVmList(baseUrl, createCalls(calls, confirmed, settings, era, "VM list"));
    this.weightStore =
        new HttpWeightStore(baseUrl, createCalls(calls, confirmed, settings, era, "weight store"));
  }

  /** Creates a separate circuit breaker for each service because services fail independently. */
  private static PlatformServiceCalls createCalls(
      HttpCalls calls,
      ConfirmedCalls confirmed,
      HttpPlatformSettings settings,
      NewestStoreEra era,
      String service) {
    return new PlatformServiceCalls(
        calls,
        confirmed,
        settings.callTimeoutMillis(),
        new CircuitBreaker(settings.circuitBreaker(), new SplittableRandom()),
        era,
        service);
  }

  /** Returns the client of the table. */
  public Table table() {
    return table;
  }

  /** Returns the client of the object store. */
  public ObjectStore objectStore() {
    return objectStore;
  }

  /** Returns the client of the VM list. */
  public VmList vmList() {
    return vmList;
  }

  /** Returns the client of the weight store. */
  public WeightStore weightStore() {
    return weightStore;
  }
}
