package io.zinniawood.http;

import io.zinniawood.core.frame.ForeignHeadScanner;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.WeakHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.StreamSupport;
import okhttp3.Connection;
import okhttp3.Interceptor;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Gives each request an id, which its response must repeat. A response without an id is accepted
 * only on a connection that has carried no other request, so connections are kept only until a
 * response lacks it.
 */
final class ResponseIdCheck implements Interceptor {
  private static final String REQUEST_ID = "Request-Id";
  private static final String CONNECTION = "Connection";

  /** Number of requests on a connection whose responses may still be repeated late. */
  private static final int MAX_EARLIER_REQUESTS = 16;

  /** Ids of the last requests on each connection; pools are shared between instances. */
  private static final Map<Connection, Deque<String>> CARRIED_IDS =
      Collections.synchronizedMap(new WeakHashMap<>());

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
    List<String> carriedIds = carry(chain.connection(), id);
    SendMonitor monitor = chain.request().tag(SendMonitor.class);
    if (monitor != null) {
      monitor.setConnectionRequestIds(carriedIds);
    }
    Response response = chain.proceed(request.build());
    List<String> ids = response.headers(REQUEST_ID);
    if (ids.isEmpty()) {
      server.updateAndGet(Server::afterResponseWithoutId);
      if (mayKeep && monitor != null) {
        monitor.setConnectionNotReusable();
      }
      if (carriedIds.size() > 1) {
        throw new IOException("the response on a kept connection names no request");
      }
    } else if (ids.equals(List.of(id)) && !holdsOtherHead(response)) {
      server.updateAndGet(Server::afterResponseWithId);
    } else {
      server.set(Server.RESPONDS_TWICE);
      if (monitor != null) {
        monitor.setConnectionNotReusable();
      }
      throw new IOException("the response names request %s, expected %s".formatted(ids, id));
    }
    return response;
  }

  /** Returns the ids of the last requests on a connection, with the present one. */
  private static List<String> carry(Connection connection, String id) {
    Deque<String> carried = CARRIED_IDS.computeIfAbsent(connection, used -> new ArrayDeque<>());
    synchronized (carried) {
      carried.addLast(id);
      if (carried.size() > MAX_EARLIER_REQUESTS) {
        carried.removeFirst();
      }
      return List.copyOf(carried);
    }
  }

  /** Returns whether the head of another response has completed the head of a response. */
  private static boolean holdsOtherHead(Response response) {
    return ForeignHeadScanner.completedByAnotherHead(
        response.message(),
        StreamSupport.stream(response.headers().spliterator(), false)
            .map(field -> field.getFirst() + " " + field.getSecond()));
  }
}
