package io.zinniawood.engine.http;

import java.net.URI;
import java.util.Objects;
import okhttp3.HttpUrl;

/** Converts base URIs to OkHttp URLs. */
final class BaseUrl {
  private BaseUrl() {}

  static HttpUrl of(URI uri) {
    HttpUrl url = HttpUrl.get(Objects.requireNonNull(uri, "uri"));
    if (url == null) {
      throw new IllegalArgumentException("base URI is not an HTTP URI: " + uri);
    }
    return url;
  }
}
