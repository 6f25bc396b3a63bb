package io.zinniawood.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Headers that concern one connection only and are not passed on (RFC 9110, section 7.6.1). */
public final class HopByHopHeaders {
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "expect",
          "content-length");

  private HopByHopHeaders() {}

  /** Copies the headers that are passed on; the length of the body is set by the copy's owner. */
  public static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
    List<String> named = from.getAll(HttpHeaderNames.CONNECTION);
    for (Map.Entry<String, String> header : from) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!HOP_BY_HOP.contains(name) && !listsOption(named, name)) {
        to.add(header.getKey(), header.getValue());
      }
    }
  }

  private static boolean listsOption(List<String> connectionValues, String name) {
    for (String value : connectionValues) {
      for (String option : value.split(",", -1)) {
        if (option.trim().equalsIgnoreCase(name)) {
          return true;
        }
      }
    }
    return false;
  }
}
