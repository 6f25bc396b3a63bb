package io.zinniawood.store.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.model.Payload;
import io.zinniawood.http.HttpResult;
import io.zinniawood.http.Json;
import io.zinniawood.http.MalformedResponseException;
import io.zinniawood.http.OneShotBody;
import io.zinniawood.store.ObjectListing;
import io.zinniawood.store.ObjectStore;
import io.zinniawood.store.ObjectVersion;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.StoredObject;
import java.util.concurrent.CompletableFuture;
import okhttp3.HttpUrl;
import okhttp3.Request;

/** HTTP client of the object store; the ETag of an object is its version. */
final class HttpObjectStore implements ObjectStore {
  private static final String OBJECT_PATH = "objects/object";
  private final HttpUrl baseUrl;
  private final PlatformServiceCalls calls;

  HttpObjectStore(HttpUrl baseUrl, PlatformServiceCalls calls) {
    this.baseUrl = baseUrl;
    this.calls = calls;
  }

  @Override
  public CompletableFuture<Either<PlatformError, ObjectListing>> list(String prefix) {
    return PlatformResponses.decode(
        calls.send(listRequest(prefix)), response -> decodeListing(prefix, response));
  }

  @Override
  public CompletableFuture<Either<PlatformError, Option<StoredObject>>> read(String name) {
    return PlatformResponses.decode(
        calls.sendConfirmed(objectRequest(name).get(), listRequest(name)),
        response -> decodeObject(name, response));
  }

  @Override
  public CompletableFuture<Either<PlatformError, String>> write(String name, byte[] content) {
    Request.Builder request =
        objectRequest(name).put(new OneShotBody(PlatformHttp.OCTET_STREAM, content));
    return PlatformResponses.decode(
        calls.send(request),
        response ->
            response.status() == 200 || response.status() == 201
                ? Either.right(objectVersion(response))
                : PlatformResponses.failure(response));
  }

  @Override
  public CompletableFuture<Either<PlatformError, Boolean>> delete(String name) {
    return PlatformResponses.decode(
        calls.send(objectRequest(name).delete()), HttpObjectStore::decodeDelete);
  }

  private Request.Builder listRequest(String prefix) {
    return new Request.Builder()
        .url(PlatformHttp.urlWithQuery(baseUrl, "objects/list", "prefix", prefix))
        .get();
  }

  private Request.Builder objectRequest(String name) {
    return new Request.Builder().url(PlatformHttp.urlWithQuery(baseUrl, OBJECT_PATH, "name", name));
  }

  static Either<PlatformError, ObjectListing> decodeListing(
      String prefix, HttpResult.Response response) throws MalformedResponseException {
    if (response.status() != 200) {
      return PlatformResponses.failure(response);
    }
    JsonNode root = Json.parseObject(response.body());
    Vector<ObjectVersion> objects = Vector.empty();
    for (JsonNode item : Json.arrayField(root, "objects")) {
      String name = Json.stringField(item, "name");
      if (!name.startsWith(prefix)) {
        throw new MalformedResponseException(
            "object \"" + name + "\" does not start with the prefix \"" + prefix + "\"");
      }
      String version = PlatformHttp.objectVersion(response, Json.stringField(item, "version"));
      objects = objects.append(new ObjectVersion(name, version));
    }
    ObjectListing.Completeness completeness =
        Json.booleanField(root, "complete")
            ? ObjectListing.Completeness.COMPLETE
            : ObjectListing.Completeness.PARTIAL;
    return Either.right(new ObjectListing(objects.sortBy(ObjectVersion::name), completeness));
  }

  static Either<PlatformError, Option<StoredObject>> decodeObject(
      String name, HttpResult.Response response) throws MalformedResponseException {
    if (response.status() == 200) {
      Payload content = Payload.wrap(response.body());
      return Either.right(Option.some(new StoredObject(name, objectVersion(response), content)));
    }
    if (PlatformHttp.reportsAbsent(response)) {
      return Either.right(Option.none());
    }
    return PlatformResponses.failure(response);
  }

  private static String objectVersion(HttpResult.Response response)
      throws MalformedResponseException {
    return PlatformHttp.objectVersion(response, PlatformHttp.entityTag(response));
  }

  private static Either<PlatformError, Boolean> decodeDelete(HttpResult.Response response) {
    if (response.status() == 204) {
      return Either.right(true);
    }
    return PlatformHttp.reportsAbsent(response)
        ? Either.right(false)
        : PlatformResponses.failure(response);
  }
}
