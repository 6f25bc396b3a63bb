package io.zinniawood.http;

import java.io.IOException;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.WeakHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import okhttp3.Connection;
import okhttp3.Interceptor;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Gives each request an id and accepts a response only if it belongs to that request. A response
 * that repeats the id does. A response without an id does only if its connection has carried no
 * other request, so connections are kept only until a response lacks it.
 */
final class ResponseIdCheck implements Interceptor {
  private static final String REQUEST_ID = "Request-Id";
  private static final String CONNECTION = "Connection";

  /** Connections that have carried a request; pools are shared between instances. */
  private static final Set<Connection> USED_CONNECTIONS =
      Collections.synchronizedSet(Collections.newSetFromMap(new WeakHashMap<>()));

  private final String idPrefix = UUID.randomUUID() + "-";
  private final AtomicLong nextId = new AtomicLong();
  private final AtomicReference<Server> server = new AtomicReference<>(Server.UNKNOWN);

  private enum Server {
    /** There was no response yet. */
    UNKNOWN,
    /** The last response had no id. */
    WITHOUT_IDS,
    /** The last response repeated the id of its request. */
    REPEATS_IDS,
    /** A response had the id of another request. */
    RESPONDS_TWICE;

    boolean mayKeepConnections() {
      return this == UNKNOWN || this == REPEATS_IDS;
    }

    Server afterResponseWithoutId() {
      return this == RESPONDS_TWICE ? this : WITHOUT_IDS;
    }

    Server afterResponseWithId() {
      return this == RESPONDS_TWICE ? this : REPEATS_IDS;
    }
  }

  /** Network interceptor; fails for a response that may belong to another request. */
  @Override
  public Response intercept(Chain chain) throws IOException {
    String id = idPrefix + nextId.getAndIncrement();
    Request.Builder request = chain.request().newBuilder().header(REQUEST_ID, id);
    boolean mayKeep = server.get().mayKeepConnections();
    if (!mayKeep) {
      request.header(CONNECTION, "close");
    }
    SendMonitor monitor = chain.request().tag(SendMonitor.class);
    if (monitor != null) {
      monitor.setRequestId(id);
    }
    boolean newConnection = USED_CONNECTIONS.add(chain.connection());
    Response response = chain.proceed(request.build());
    List<String> ids = response.headers(REQUEST_ID);
    if (ids.isEmpty()) {
      server.updateAndGet(Server::afterResponseWithoutId);
      if (mayKeep && monitor != null) {
        monitor.setConnectionUnfit();
      }
      if (!newConnection) {
        throw new IOException("the response on a kept connection names no request");
      }
    } else if (ids.stream().allMatch(id::equals)) {
      server.updateAndGet(Server::afterResponseWithId);
    } else {
      server.set(Server.RESPONDS_TWICE);
      throw new IOException("the response names request %s, expected %s".formatted(ids, id));
    }
    return response;
  }
}
