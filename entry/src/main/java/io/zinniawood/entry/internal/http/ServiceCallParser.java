package io.zinniawood.entry.internal.http;

import io.jooby.Context;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.zinniawood.core.model.HttpHeader;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;
import io.zinniawood.core.model.ServiceCall;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Converts HTTP requests to calls of plain services. */
final class ServiceCallParser {
  private static final String PREFIX = "/services/";

  private ServiceCallParser() {}

  /** Parses a call. Its path is the part of the URL after the service name, at least a slash. */
  static Either<Problem, ServiceCall> parse(Context context, String serviceName) {
    String path = context.getRequestPath();
    int nameEnd = path.indexOf('/', PREFIX.length());
    String servicePath = nameEnd < 0 ? "/" : path.substring(nameEnd);
    if (hasDotSegment(servicePath)) {
      return Either.left(badRequest("the path must not contain the segments . or .."));
    }
    String contentType = context.header("Content-Type").value("").toLowerCase(Locale.ROOT);
    if (contentType.startsWith("multipart/")
        || contentType.startsWith("application/x-www-form-urlencoded")) {
      // Jooby decodes forms and discards their bytes, so they cannot be forwarded unchanged.
      return Either.left(badRequest("form bodies are not supported for service " + serviceName));
    }
    boolean hasBody =
        !"0".equals(context.header("Content-Length").value("0"))
            || !context.header("Transfer-Encoding").isMissing();
    if (hasBody && "GET".equals(context.getMethod())) {
      return Either.left(badRequest("a GET request must not have a body"));
    }
    byte[] body = hasBody ? context.body().bytes() : new byte[0];
    return Either.right(
        new ServiceCall(
            context.getMethod(),
            servicePath + context.queryString(),
            HeaderFilter.filterRequest(headers(context)),
            Payload.wrap(body)));
  }

  // A dot segment could escape from the base path of the service's address.
  private static boolean hasDotSegment(String path) {
    for (String segment : path.split("/", -1)) {
      String decoded = segment.toLowerCase(Locale.ROOT).replace("%2e", ".");
      if (".".equals(decoded) || "..".equals(decoded)) {
        return true;
      }
    }
    return false;
  }

  private static Vector<HttpHeader> headers(Context context) {
    Vector<HttpHeader> headers = Vector.empty();
    for (Map.Entry<String, List<String>> field : context.header().toMultimap().entrySet()) {
      for (String value : field.getValue()) {
        headers = headers.append(new HttpHeader(field.getKey(), value));
      }
    }
    return headers;
  }

  private static Problem badRequest(String detail) {
    return Problem.notRun(ProblemType.BAD_REQUEST, detail);
  }
}
