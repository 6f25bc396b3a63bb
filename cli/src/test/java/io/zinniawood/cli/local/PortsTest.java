package io.zinniawood.cli.local;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class PortsTest {
  /** First ephemeral port of Linux by default. */
  private static final int FIRST_EPHEMERAL_PORT = 32_768;

  // Two processes of a cluster got one port: a relay found it taken when it was started again.
  @Test
  void noPortIsReturnedTwice() {
    Set<Integer> ports = new HashSet<>();
    for (int count = 0; count < 2_000; count++) {
      assertThat(ports.add(Ports.free().port()), is(true));
    }
  }

  // Guards against an outgoing connection that takes the port before its listener is bound.
  @Test
  void freePortsAreBelowEphemeralRange() {
    for (int count = 0; count < 50; count++) {
      assertThat(Ports.free().port(), lessThan(FIRST_EPHEMERAL_PORT));
    }
  }
}
