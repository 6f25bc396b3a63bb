package io.zinniawood.engine.http;

import java.net.URI;
import java.util.Objects;
import okhttp3.HttpUrl;

/** Checks base URIs. */
final class BaseUrl {
  private BaseUrl() {}

  static HttpUrl of(URI uri) {
    HttpUrl url = HttpUrl.get(Objects.requireNonNull(uri, "uri"));
    if (url == null) {
      throw new IllegalArgumentException("not an HTTP URI: " + uri);
    }
    return url;
  }
}
