package io.zinniawood.store.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Fence;
import io.zinniawood.core.id.IdempotencyKey;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.model.ClaimKey;
import io.zinniawood.core.model.ClaimRow;
import io.zinniawood.core.model.ClaimState;
import io.zinniawood.core.model.HttpHeader;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.ServiceAnswer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

class ClaimRowCodecTest {
  private final ClaimRowCodec codec = new ClaimRowCodec();

  private static ClaimRow row(ClaimState state, Option<ServiceAnswer> answer) {
    return new ClaimRow(
        new EndpointId("e1"),
        new Incarnation(Long.MIN_VALUE + 1),
        new AttemptId("a1"),
        "00ff",
        state,
        new Fence(3),
        answer);
  }

  // A replayed answer must equal the one that the first caller received, also for binary bodies.
  @Test
  void decodedRowsEqualEncodedRowsWithBinaryBodies() {
    ServiceAnswer answer =
        new ServiceAnswer(
            201,
            Vector.of(new HttpHeader("content-type", "application/octet-stream")),
            Payload.wrap(new byte[] {0, (byte) 0xff, 10}));
    for (ClaimRow row :
        Vector.of(
            row(ClaimState.STARTED, Option.none()),
            row(ClaimState.FINISHED, Option.some(answer)))) {
      assertThat(codec.decode(codec.encode(row)).get(), equalTo(row));
    }
  }

  // A corrupted row must not be treated as an unclaimed key, which would run the call twice.
  @Test
  void invalidRowsAreDecodeErrors() {
    for (String text : Vector.of("", "{", "[]", "{\"state\":\"GONE\"}", "null")) {
      byte[] value = text.getBytes(StandardCharsets.UTF_8);
      assertThat(text, codec.decode(value).isLeft(), equalTo(true));
    }
    byte[] finishedWithoutAnswer = codec.encode(row(ClaimState.FINISHED, Option.none()));
    assertThat(codec.decode(finishedWithoutAnswer).getLeft().detail(), containsString("no answer"));
  }

  // Guards against a fence or status that wraps around to a plausible one.
  @Test
  void numbersOutOfRangeAreDecodeErrors() {
    ServiceAnswer answer = new ServiceAnswer(201, Vector.empty(), Payload.wrap(new byte[0]));
    byte[] value = codec.encode(row(ClaimState.FINISHED, Option.some(answer)));
    String text = new String(value, StandardCharsets.UTF_8);
    for (String odd :
        Vector.of(
            text.replace("\"fence\":3", "\"fence\":18446744073709551619"),
            text.replace("\"status\":201", "\"status\":4294967497"))) {
      assertThat(odd, not(equalTo(text)));
      assertThat(odd, codec.decode(odd.getBytes(StandardCharsets.UTF_8)).isLeft(), equalTo(true));
    }
  }

  // A slash in an account or service name must not map two claims to the same row.
  @Test
  void slashesInNamesDoNotMakeRowKeysCollide() {
    IdempotencyKey key = new IdempotencyKey("k");
    String first =
        ClaimRowKey.of(new ClaimKey(new ClientAccountId("a/b"), new ServiceName("c"), key));
    String second =
        ClaimRowKey.of(new ClaimKey(new ClientAccountId("a"), new ServiceName("b/c"), key));
    assertThat(first, not(equalTo(second)));
  }

  // A row that was cut with its connection must not be an unclaimed key or another answer.
  @Test
  void truncatedRowsAreDecodeErrors() {
    byte[] whole =
        codec.encode(
            row(
                ClaimState.FINISHED,
                Option.some(new ServiceAnswer(201, Vector.empty(), Payload.ofText("booked")))));
    for (int length = 0; length < whole.length; length++) {
      assertThat(codec.decode(Arrays.copyOf(whole, length)).isLeft(), equalTo(true));
    }
  }
}
