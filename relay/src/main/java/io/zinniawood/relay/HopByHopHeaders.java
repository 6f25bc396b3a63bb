package io.zinniawood.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Headers that apply to one connection only and are not forwarded (RFC 9110, section 7.6.1), and
 * {@code Content-Length}, which is set anew for each forwarded message.
 */
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

  /** Copies all forwarded headers; the caller of this method sets the content length. */
  public static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
    List<String> connectionValues = from.getAll(HttpHeaderNames.CONNECTION);
    for (Map.Entry<String, String> header : from) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!HOP_BY_HOP.contains(name) && !listsOption(connectionValues, name)) {
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
