package io.zinniawood.dist.soak;

import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.dist.CallerCrowd;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Random;

/** Crowds of callers that use up the memory of a relay. */
final class SoakCrowds {
  private static final int MIN_CALLERS = 10;
  private static final int CALLER_RANGE = 50;

  /** Memory of the smallest VM of a relay. */
  private static final long MAX_RESIDENT_BYTES = 330_000_000;

  private static final String HEAD =
      " /read/x HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt-Id: crowd\r\nDeadline-Ms: 10000\r\n";
  private static final String CHUNKED = "POST" + HEAD + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String SHORT_LINES = "a:\r\n".repeat(1_000);

  private static final List<CallerCrowd.Bytes> KINDS =
      List.of(
          new CallerCrowd.Bytes("", "", 0, 0),
          new CallerCrowd.Bytes("GET" + HEAD, SHORT_LINES, 1_000, 0),
          new CallerCrowd.Bytes("", "GET" + HEAD + SHORT_LINES.repeat(3) + "\r\n", 40, 0),
          new CallerCrowd.Bytes("", ("GET" + HEAD + "\r\n").repeat(100), 1_000, 1),
          new CallerCrowd.Bytes("POST" + HEAD + "Content-Length: 90000\r\n\r\n", "x", 10_000, 1),
          new CallerCrowd.Bytes(CHUNKED + "1\r\nx\r\n0\r\n", SHORT_LINES, 1_000, 0),
          new CallerCrowd.Bytes(CHUNKED, "1;" + "x".repeat(8_000) + "\r\nx\r\n", 10_000, 0),
          new CallerCrowd.Bytes("", "\r\n".repeat(10_000), 2_000, 1));

  private final SoakCluster cluster;
  private final Violations violations;
  private final Random random;

  SoakCrowds(SoakCluster cluster, Violations violations, Random random) {
    this.cluster = cluster;
    this.violations = violations;
    this.random = random;
  }

  /** Sends a crowd to a relay; the returned action checks the relay and ends the crowd. */
  Runnable start() {
    SoakCluster.Relay relay = cluster.relays.get(random.nextInt(cluster.relays.size()));
    NodeAddress address = random.nextInt(4) == 0 ? relay.adminAddress : relay.callersAddress;
    CallerCrowd crowd = new CallerCrowd();
    crowd.send(
        address,
        MIN_CALLERS + random.nextInt(CALLER_RANGE),
        KINDS.get(random.nextInt(KINDS.size())));
    return () -> {
      synchronized (relay) {
        if (relay.process().isAlive()) {
          long residentBytes = relay.process().usage().residentBytes();
          violations.check(
              residentBytes < MAX_RESIDENT_BYTES,
              "relay %d has %d bytes of resident memory".formatted(relay.number, residentBytes));
        }
      }
      try {
        crowd.close();
      } catch (IOException failure) {
        throw new UncheckedIOException(failure);
      }
    };
  }
}
