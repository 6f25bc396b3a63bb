package io.zinniawood.store.http;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.model.PackedStoreVersion;
import io.zinniawood.core.model.Payload;
import io.zinniawood.http.HttpResult;
import io.zinniawood.http.MalformedResponseException;
import io.zinniawood.http.OneShotBody;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.Table;
import io.zinniawood.store.TableRow;
import io.zinniawood.store.TableWriteResult;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import okhttp3.HttpUrl;
import okhttp3.Request;

/** HTTP client of the table; the ETag of a row is its version. */
final class HttpTable implements Table {
  private static final String ROW_PATH = "table/row";
  private final HttpUrl baseUrl;
  private final PlatformServiceCalls calls;
  private final NewestStoreEra era;

  HttpTable(HttpUrl baseUrl, PlatformServiceCalls calls, NewestStoreEra era) {
    this.baseUrl = baseUrl;
    this.calls = calls;
    this.era = era;
  }

  @Override
  public long absentVersion() {
    return PackedStoreVersion.of(era.newest(), 0);
  }

  @Override
  public void onNewerEra(LongConsumer listener) {
    era.onNewer(listener);
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
    long expectedEra = PackedStoreVersion.era(expectedVersion);
    if (expectedEra < era.newest()) {
      return CompletableFuture.completedFuture(
          Either.left(
              new PlatformError.Unavailable(
                  "version of era %d of row %s has no meaning in era %d"
                      .formatted(expectedEra, key, era.newest()))));
    }
    long number = PackedStoreVersion.number(expectedVersion);
    Request.Builder request =
        new Request.Builder()
            .url(PlatformHttp.urlWithQuery(baseUrl, ROW_PATH, "key", key))
            .put(new OneShotBody(PlatformHttp.OCTET_STREAM, value));
    if (number == 0) {
      request.header("If-None-Match", "*");
    } else {
      request.header("If-Match", "\"" + number + "\"");
    }
    return PlatformResponses.decode(
        calls.send(request), response -> decodeWrite(key, expectedEra, response));
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

  /**
   * Decodes the response to a write. One that took effect in a later era than that of the expected
   * version may have replaced another row than the one that was read, so its result is not known.
   */
  static Either<PlatformError, TableWriteResult> decodeWrite(
      String key, long expectedEra, HttpResult.Response response)
      throws MalformedResponseException {
    if (response.status() == 200 || response.status() == 201) {
      long version = rowVersion(response);
      return PackedStoreVersion.era(version) == expectedEra
          ? Either.right(new TableWriteResult.Written(version))
          : Either.left(
              new PlatformError.ResponseLost(
                  "row %s was written in era %d of the store instead of era %d"
                      .formatted(key, PackedStoreVersion.era(version), expectedEra)));
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
      if (version >= 1 && version <= PackedStoreVersion.MAX_NUMBER) {
        return PackedStoreVersion.of(NewestStoreEra.of(response), version);
      }
    } catch (NumberFormatException exception) {
      throw new MalformedResponseException("row version is not an integer: " + tag, exception);
    }
    throw new MalformedResponseException("row version is out of range: " + tag);
  }
}
