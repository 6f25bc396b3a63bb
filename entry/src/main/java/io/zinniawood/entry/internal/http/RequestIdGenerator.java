package io.zinniawood.entry.internal.http;

import io.zinniawood.core.id.RequestId;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Generates request ids. A random prefix, created at each start of the process, makes them unique
 * across all entries and restarts.
 */
public final class RequestIdGenerator {
  private static final int PREFIX_BYTES = 8;

  private final String prefix;
  private final AtomicLong next = new AtomicLong();

  /** Creates a generator with a random prefix. */
  public RequestIdGenerator() {
    byte[] random = new byte[PREFIX_BYTES];
    new SecureRandom().nextBytes(random);
    prefix = HexFormat.of().formatHex(random);
  }

  /** Returns an id that has not been used. */
  public RequestId next() {
    return new RequestId(prefix + "-" + Long.toString(next.incrementAndGet(), Character.MAX_RADIX));
  }
}
