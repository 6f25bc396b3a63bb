package io.zinniawood.store.http;

import io.zinniawood.http.HttpResult.Response;
import io.zinniawood.http.MalformedResponseException;
import okhttp3.HttpUrl;
import okhttp3.MediaType;

/** URLs, headers and media types of the platform's HTTP interface. */
final class PlatformHttp {
  static final MediaType OCTET_STREAM = MediaType.get("application/octet-stream");
  static final MediaType JSON = MediaType.get("application/json");

  /**
   * Header of a 404 response that confirms that the row or object does not exist. A 404 without
   * this header may be caused by a wrong path or an intermediary and is treated as an error.
   */
  static final String ABSENT_HEADER = "Platform-Absent";

  private PlatformHttp() {}

  static HttpUrl urlWithQuery(HttpUrl baseUrl, String path, String name, String value) {
    return baseUrl.newBuilder().addPathSegments(path).addQueryParameter(name, value).build();
  }

  static HttpUrl url(HttpUrl baseUrl, String path) {
    return baseUrl.newBuilder().addPathSegments(path).build();
  }

  static boolean reportsAbsent(Response response) {
    return response.status() == 404 && response.headers().get(ABSENT_HEADER) != null;
  }

  /** Returns the value of the ETag header without its quotes. */
  static String entityTag(Response response) throws MalformedResponseException {
    String tag = response.headers().get("ETag");
    if (tag == null || tag.length() < 3 || !tag.startsWith("\"") || !tag.endsWith("\"")) {
      throw new MalformedResponseException("ETag header is missing or not a quoted string: " + tag);
    }
    return tag.substring(1, tag.length() - 1);
  }

  /** Returns the version of an object, which is unique across the eras of the store. */
  static String objectVersion(Response response, String version) throws MalformedResponseException {
    long era = NewestStoreEra.of(response);
    return era == 0 ? version : "%d.%s".formatted(era, version);
  }
}
