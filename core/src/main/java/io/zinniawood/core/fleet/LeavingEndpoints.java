package io.zinniawood.core.fleet;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.EndpointIncarnation;
import io.zinniawood.core.notice.NoticeQueue;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Endpoints that said themselves that they are leaving. Only a later start of the same endpoint
 * ends that; neither time nor the endpoint list does. Not thread-safe.
 */
public final class LeavingEndpoints {
  /** Maximum number of endpoints; bounds the memory of a relay that runs for many releases. */
  private static final int MAX_ENDPOINTS = 4_096;

  /** Maximum number of characters of the ids in one notice, so that it fits into a packet. */
  private static final int MAX_NOTICE_CHARACTERS = 400;

  private final Map<EndpointId, Long> startedMillisById = new LinkedHashMap<>();

  /** Order in which the endpoints are told to other processes. */
  private final NoticeQueue<EndpointIncarnation> noticeQueue =
      new NoticeQueue<>(MAX_NOTICE_CHARACTERS, leaving -> leaving.endpoint().value().length());

  /** Adds an endpoint and returns whether it was not known to leave. */
  public boolean add(EndpointIncarnation leaving) {
    if (contains(leaving)) {
      return false;
    }
    noticeQueue.removeIf(older -> older.endpoint().equals(leaving.endpoint()));
    startedMillisById.remove(leaving.endpoint());
    startedMillisById.put(leaving.endpoint(), leaving.startedMillis());
    noticeQueue.addFirst(leaving);
    if (startedMillisById.size() > MAX_ENDPOINTS) {
      removeOldest();
    }
    return true;
  }

  private void removeOldest() {
    Iterator<EndpointId> ids = startedMillisById.keySet().iterator();
    EndpointId oldest = ids.next();
    ids.remove();
    noticeQueue.removeIf(leaving -> leaving.endpoint().equals(oldest));
  }

  /** Returns whether this start of an endpoint, or a later one, said that it is leaving. */
  public boolean contains(EndpointIncarnation endpoint) {
    Long startedMillis = startedMillisById.get(endpoint.endpoint());
    return startedMillis != null && endpoint.startedMillis() <= startedMillis;
  }

  /**
   * Returns the endpoints to tell other processes next, as many as fit into a message. Repeated
   * calls return all endpoints in turn; endpoints that were just added come first.
   *
   * @param relevant whether other processes may still use the endpoint
   */
  public List<EndpointIncarnation> nextNotice(Predicate<EndpointIncarnation> relevant) {
    return noticeQueue.next(relevant);
  }
}
