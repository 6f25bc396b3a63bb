package io.zinniawood.entry.internal.http;

import io.vavr.collection.Vector;
import io.zinniawood.core.model.HttpHeader;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** Selects the header fields that are forwarded between a caller and a plain service. */
final class HeaderFilter {
  /** Hop-by-hop fields (RFC 9110, section 7.6.1) and fields that each new message sets itself. */
  private static final Set<String> CONNECTION_FIELDS =
      Set.of(
          "connection",
          "content-length",
          "expect",
          "host",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  /** Fields that only the entry evaluates; a service must not receive the caller's API key. */
  private static final Set<String> ENTRY_ONLY_FIELDS =
      Set.of("authorization", "x-request-deadline-ms", "x-request-priority");

  private static final Pattern NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
  private static final Pattern VALUE = Pattern.compile("[\\t\\x20-\\x7e\\x80-\\xff]*");

  /** Start of a media type (RFC 9110, section 8.3.1); Jooby throws at other content types. */
  private static final Pattern MEDIA_TYPE = Pattern.compile(NAME + "/" + NAME + ".*");

  private HeaderFilter() {}

  static Vector<HttpHeader> filterRequest(Vector<HttpHeader> headers) {
    return withoutConnectionFields(headers)
        .filter(header -> !ENTRY_ONLY_FIELDS.contains(lowerCase(header.name())));
  }

  /**
   * Selects the fields of a response. Fields of the same name are joined to one list, as Jooby
   * keeps one field per name. Invalid fields are dropped, as a line break in a field would let a
   * service forge the rest of the response.
   */
  static Vector<HttpHeader> filterResponse(Vector<HttpHeader> headers) {
    Map<String, HttpHeader> joined = new LinkedHashMap<>();
    for (HttpHeader header : withoutConnectionFields(headers)) {
      if (isValid(header)) {
        joined.merge(
            lowerCase(header.name()),
            header,
            (first, next) -> new HttpHeader(first.name(), first.value() + ", " + next.value()));
      }
    }
    return Vector.ofAll(joined.values());
  }

  private static boolean isValid(HttpHeader header) {
    return NAME.matcher(header.name()).matches()
        && VALUE.matcher(header.value()).matches()
        && (!"content-type".equals(lowerCase(header.name()))
            || MEDIA_TYPE.matcher(header.value()).matches());
  }

  private static Vector<HttpHeader> withoutConnectionFields(Vector<HttpHeader> headers) {
    Set<String> connectionOptions = new HashSet<>();
    for (HttpHeader header : headers) {
      if ("connection".equals(lowerCase(header.name()))) {
        Arrays.stream(header.value().split(",", -1))
            .forEach(name -> connectionOptions.add(lowerCase(name.trim())));
      }
    }
    return headers.filter(
        header -> {
          String name = lowerCase(header.name());
          return !CONNECTION_FIELDS.contains(name) && !connectionOptions.contains(name);
        });
  }

  private static String lowerCase(String text) {
    return text.toLowerCase(Locale.ROOT);
  }
}
