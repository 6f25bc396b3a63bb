package io.zinniawood.store.http;

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
 * The platform's services over HTTP. Each call sends at most one request; there are no retries and
 * no redirects. The HTTP interface is described in {@code docs/standins.md}.
 */
public final class HttpPlatform {
  private final HttpTable table;
  private final HttpObjectStore objectStore;
  private final HttpVmList vmList;
  private final HttpWeightStore weightStore;

  /**
   * Creates the adapter with default settings.
   *
   * @param baseUri base of all paths, for example {@code http://127.0.0.1:8080}
   * @param client client whose connection pool and threads are shared
   */
  public HttpPlatform(URI baseUri, OkHttpClient client) {
    this(baseUri, client, HttpPlatformSettings.defaults());
  }

  /**
   * Creates the adapter.
   *
   * @param baseUri base of all paths, for example {@code http://127.0.0.1:8080}
   * @param client client whose connection pool and threads are shared
   * @param settings timeouts and bounds
   * @throws IllegalArgumentException if the URI is not an HTTP URI
   */
  public HttpPlatform(URI baseUri, OkHttpClient client, HttpPlatformSettings settings) {
    HttpUrl base = HttpUrl.get(Objects.requireNonNull(baseUri, "baseUri"));
    if (base == null) {
      throw new IllegalArgumentException("not an HTTP URI: " + baseUri);
    }
    HttpCalls calls =
        new HttpCalls(
            client,
            new HttpCallSettings(
                settings.connectTimeoutMillis(),
                settings.maxResponseBytes(),
                settings.maxConcurrentCalls()));
    this.table = new HttpTable(base, createCalls(calls, settings, "table"));
    this.objectStore = new HttpObjectStore(base, createCalls(calls, settings, "object store"));
    this.vmList = new HttpVmList(base, createCalls(calls, settings, "VM list"));
    this.weightStore = new HttpWeightStore(base, createCalls(calls, settings, "weight store"));
  }

  /** Each service has its own circuit, as services fail separately. */
  private static PlatformServiceCalls createCalls(
      HttpCalls calls, HttpPlatformSettings settings, String service) {
    return new PlatformServiceCalls(
        calls,
        settings.callTimeoutMillis(),
        new CircuitBreaker(settings.circuitBreaker(), new SplittableRandom()),
        service);
  }

  /** Returns the table. */
  public Table table() {
    return table;
  }

  /** Returns the object store. */
  public ObjectStore objectStore() {
    return objectStore;
  }

  /** Returns the VM list. */
  public VmList vmList() {
    return vmList;
  }

  /** Returns the weight store. */
  public WeightStore weightStore() {
    return weightStore;
  }
}
