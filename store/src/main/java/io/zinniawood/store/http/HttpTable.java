package io.zinniawood.store.http;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.model.Payload;
import io.zinniawood.http.HttpResult;
import io.zinniawood.http.MalformedResponseException;
import io.zinniawood.http.OneShotBody;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.Table;
import io.zinniawood.store.TableRow;
import io.zinniawood.store.TableWriteResult;
import java.util.concurrent.CompletableFuture;
import okhttp3.HttpUrl;
import okhttp3.Request;

/** HTTP client of the table; the ETag of a row is its version. */
final class HttpTable implements Table {
  private static final String ROW_PATH = "table/row";
  private final HttpUrl baseUrl;
  private final PlatformServiceCalls calls;

  HttpTable(HttpUrl baseUrl, PlatformServiceCalls calls) {
    this.baseUrl = baseUrl;
    this.calls = calls;
  }

  @Override
  public CompletableFuture<Either<PlatformError, Option<TableRow>>> read(String key) {
    Request.Builder request =
        new Request.Builder().url(PlatformHttp.urlWithQuery(baseUrl, ROW_PATH, "key", key)).get();
    return PlatformResponses.decode(calls.send(request), response -> decodeRead(key, response));
  }

  @Override
  public CompletableFuture<Either<PlatformError, TableWriteResult>> write(
      String key, long expectedVersion, byte[] value) {
    Request.Builder request =
        new Request.Builder()
            .url(PlatformHttp.urlWithQuery(baseUrl, ROW_PATH, "key", key))
            .put(new OneShotBody(PlatformHttp.OCTET_STREAM, value));
    if (expectedVersion == 0) {
      request.header("If-None-Match", "*");
    } else {
      request.header("If-Match", "\"" + expectedVersion + "\"");
    }
    return PlatformResponses.decode(calls.send(request), response -> decodeWrite(key, response));
  }

  static Either<PlatformError, Option<TableRow>> decodeRead(
      String key, HttpResult.Response response) throws MalformedResponseException {
    if (response.status() == 200) {
      return Either.right(Option.some(decodeRow(key, response)));
    }
    if (PlatformHttp.reportsAbsent(response)) {
      return Either.right(Option.none());
    }
    return PlatformResponses.failure(response);
  }

  static Either<PlatformError, TableWriteResult> decodeWrite(
      String key, HttpResult.Response response) throws MalformedResponseException {
    if (response.status() == 200 || response.status() == 201) {
      return Either.right(new TableWriteResult.Written(rowVersion(response)));
    }
    if (response.status() == 412) {
      Option<TableRow> present =
          response.headers().get(PlatformHttp.ABSENT_HEADER) != null
              ? Option.none()
              : Option.some(decodeRow(key, response));
      return Either.right(new TableWriteResult.Conflict(present));
    }
    return PlatformResponses.failure(response);
  }

  private static TableRow decodeRow(String key, HttpResult.Response response)
      throws MalformedResponseException {
    return new TableRow(key, rowVersion(response), Payload.wrap(response.body()));
  }

  private static long rowVersion(HttpResult.Response response) throws MalformedResponseException {
    String tag = PlatformHttp.entityTag(response);
    try {
      long version = Long.parseLong(tag);
      if (version >= 1) {
        return version;
      }
    } catch (NumberFormatException exception) {
      throw new MalformedResponseException("row version is not an integer: " + tag, exception);
    }
    throw new MalformedResponseException("row version must be at least 1, found " + tag);
  }
}
