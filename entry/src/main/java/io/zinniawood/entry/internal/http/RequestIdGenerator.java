package io.zinniawood.entry.internal.http;

import io.zinniawood.core.id.RequestId;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Draws request ids. A random prefix for each process run makes them unique over all entries and
 * restarts.
 */
public final class RequestIdGenerator {
  private static final int PREFIX_BYTES = 8;

  private final String prefix;
  private final AtomicLong next = new AtomicLong();

  /** Creates a source with a random prefix. */
  public RequestIdGenerator() {
    byte[] random = new byte[PREFIX_BYTES];
    new SecureRandom().nextBytes(random);
    prefix = HexFormat.of().formatHex(random);
  }

  /** Returns a new id. */
  public RequestId next() {
    return new RequestId(prefix + "-" + Long.toString(next.incrementAndGet(), Character.MAX_RADIX));
  }
}
