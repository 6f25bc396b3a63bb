package io.zinniawood.store.http;

import io.zinniawood.http.HttpResult.Response;
import io.zinniawood.http.MalformedResponseException;
import okhttp3.HttpUrl;
import okhttp3.MediaType;

/** Paths, header fields and media types of the platform's HTTP interface. */
final class PlatformHttp {
  static final MediaType OCTET_STREAM = MediaType.get("application/octet-stream");
  static final MediaType JSON = MediaType.get("application/json");

  /**
   * Marks a 404 that states that the row or object does not exist. A 404 without it may come from a
   * wrong path or an intermediary and proves nothing.
   */
  static final String ABSENT_HEADER = "Platform-Absent";

  private PlatformHttp() {}

  static HttpUrl urlWithQuery(HttpUrl base, String path, String name, String value) {
    return base.newBuilder().addPathSegments(path).addQueryParameter(name, value).build();
  }

  static HttpUrl url(HttpUrl base, String path) {
    return base.newBuilder().addPathSegments(path).build();
  }

  static boolean reportsAbsent(Response response) {
    return response.status() == 404 && response.headers().get(ABSENT_HEADER) != null;
  }

  /** Returns the text of an entity tag without its quotes. */
  static String entityTag(Response response) throws MalformedResponseException {
    String tag = response.headers().get("ETag");
    if (tag == null || tag.length() < 3 || !tag.startsWith("\"") || !tag.endsWith("\"")) {
      throw new MalformedResponseException("ETag is missing or malformed: " + tag);
    }
    return tag.substring(1, tag.length() - 1);
  }
}
