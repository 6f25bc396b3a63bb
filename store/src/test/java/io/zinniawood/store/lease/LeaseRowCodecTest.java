package io.zinniawood.store.lease;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.entry.LeaseRow;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.id.VmId;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

class LeaseRowCodecTest {
  private static final LeaseRow ROW = new LeaseRow(new VmId("entry-1"), new FencingNumber(7), 3);

  // Agents must be able to read the fencing number of a lease that an entry has written.
  @Test
  void encodedLeaseIsDecodedByEntriesAndAgents() {
    byte[] value = LeaseRowCodec.encode(ROW);
    assertThat(LeaseRowCodec.decode(value), equalTo(Either.right(ROW)));
    assertThat(LeaseRowCodec.fencingNumber(value), equalTo(Option.some(new FencingNumber(7))));
  }

  // An invalid row must not be decoded as a lease or make the decoder throw.
  @Test
  void invalidRowsAreRejected() {
    for (String value :
        new String[] {
          "",
          "{",
          "[]",
          "{\"holder\":\"entry-1\",\"renewals\":3}",
          "{\"holder\":\"entry-1\",\"fencingNumber\":\"7\",\"renewals\":3}",
          "{\"holder\":\"entry-1\",\"fencingNumber\":7.5,\"renewals\":3}",
          "{\"holder\":\"entry-1\",\"fencingNumber\":null,\"renewals\":3}"
        }) {
      byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
      assertThat(value, LeaseRowCodec.decode(bytes).isLeft(), equalTo(true));
      assertThat(value, LeaseRowCodec.fencingNumber(bytes), equalTo(Option.none()));
    }
  }

  // A row that was cut with its connection must not be another lease or fencing number.
  @Test
  void truncatedRowsAreRejected() {
    byte[] whole = LeaseRowCodec.encode(ROW);
    for (int length = 0; length < whole.length; length++) {
      byte[] bytes = Arrays.copyOf(whole, length);
      assertThat(LeaseRowCodec.decode(bytes).isLeft(), equalTo(true));
      assertThat(LeaseRowCodec.fencingNumber(bytes), equalTo(Option.none()));
    }
  }
}
