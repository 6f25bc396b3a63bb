package io.zinniawood.cli.local;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

final class PortsTest {
  /** First local port of connections on Linux, by default. */
  private static final int FIRST_EPHEMERAL_PORT = 32_768;

  // A connection of another process took the port of an agent before the agent listened on it.
  @Test
  void portsAreNeverLocalPortsOfConnections() {
    for (int count = 0; count < 50; count++) {
      assertThat(Ports.free().port(), lessThan(FIRST_EPHEMERAL_PORT));
    }
  }
}
