package io.zinniawood.ingress;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class DescriptorLimitTest {
  // Guards against connections and a burst of new ones that together take all descriptors, and
  // against a system that does not tell its limit.
  @Test
  void callersLeaveDescriptorsToOthers() {
    assertThat(DescriptorLimit.of(4_200, 1), is(new DescriptorLimit(3_144, 262)));
    assertThat(DescriptorLimit.of(4_200, 2), is(new DescriptorLimit(1_572, 262)));
    assertThat(DescriptorLimit.of(1_000_000, 1), is(new DescriptorLimit(8_192, 1_024)));
    assertThat(DescriptorLimit.of(-1, 1), is(new DescriptorLimit(8_192, 1_024)));
  }
}
