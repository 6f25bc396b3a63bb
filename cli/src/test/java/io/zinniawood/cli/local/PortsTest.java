package io.zinniawood.cli.local;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

final class PortsTest {
  /** First ephemeral port of Linux by default. */
  private static final int FIRST_EPHEMERAL_PORT = 32_768;

  // Guards against an outgoing connection that takes the port before its listener is bound.
  @Test
  void freePortsAreBelowEphemeralRange() {
    for (int count = 0; count < 50; count++) {
      assertThat(Ports.free().port(), lessThan(FIRST_EPHEMERAL_PORT));
    }
  }
}
