package io.zinniawood.store.http;

import io.vavr.control.Either;
import io.zinniawood.http.HttpResult;
import io.zinniawood.http.Responses;
import io.zinniawood.store.PlatformError;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import okhttp3.Headers;

/** Malformed responses must be typed errors; a decoder must not throw any other exception. */
class ResponseFuzzTest {
  private static final String SEED = "20261204";
  private static final String VALID_VMS =
      "{\"version\":3,\"vms\":[{\"vm\":\"v\",\"role\":\"ENTRY\",\"state\":\"LIVE\","
          + "\"dataCentre\":\"d\",\"pool\":\"p\",\"host\":\"h\",\"port\":1}]}";
  private static final String VALID_LISTING =
      "{\"complete\":true,\"objects\":[{\"name\":\"config/a\",\"version\":\"1\"}]}";
  private static final String VALID_GRANT = "{\"granted\":false,\"retryAfterMillis\":10}";

  @Property(seed = SEED, tries = 2_000)
  void everyResponseDecodesToValueOrTypedError(@ForAll("responses") HttpResult.Response response) {
    check(response, value -> HttpTable.decodeRead("k", value));
    check(response, value -> HttpTable.decodeWrite("k", 0, value));
    check(response, value -> HttpObjectStore.decodeListing("config/", value));
    check(response, value -> HttpObjectStore.decodeObject("o", value));
    check(response, value -> HttpVmList.decode(value, ignored -> {}));
    check(response, HttpWeightStore::decode);
  }

  private static <T> void check(
      HttpResult.Response response, Responses.Decoder<PlatformError, T> decoder) {
    Either<PlatformError, T> result = PlatformResponses.decode(response, decoder);
    if (result.isLeft()) {
      result.getLeft().detail();
    } else if (response.status() >= 300 && response.status() != 404 && response.status() != 412) {
      throw new AssertionError("status " + response.status() + " was decoded as " + result);
    }
  }

  @Provide
  Arbitrary<HttpResult.Response> responses() {
    Arbitrary<Integer> statuses =
        Arbitraries.frequencyOf(
            Tuple.of(5, Arbitraries.just(200)),
            Tuple.of(2, Arbitraries.of(201, 204, 404, 412, 429, 503)),
            Tuple.of(1, Arbitraries.integers().between(100, 599)));
    Arbitrary<String> tags =
        Arbitraries.oneOf(
            Arbitraries.strings().ascii().ofMaxLength(20).filter(ResponseFuzzTest::isHeaderValue),
            Arbitraries.of("\"1\"", "\"\"", "\"-1\"", "\"99999999999999999999\"", "\"x\"", "\""));
    return Combinators.combine(statuses, tags, Arbitraries.of(true, false), bodies())
        .as((status, tag, absent, body) -> response(status, tag, absent, body));
  }

  private static HttpResult.Response response(int status, String tag, boolean absent, byte[] body) {
    Headers.Builder headers = new Headers.Builder().add("ETag", tag);
    if (absent) {
      headers.add("Platform-Absent", "true");
    }
    return new HttpResult.Response(status, headers.build(), body);
  }

  private static boolean isHeaderValue(String text) {
    return text.chars().allMatch(character -> character >= 32 && character < 127);
  }

  private static Arbitrary<byte[]> bodies() {
    Arbitrary<byte[]> arbitrary = Arbitraries.bytes().array(byte[].class).ofMaxSize(200);
    Arbitrary<byte[]> mutated =
        Combinators.combine(
                Arbitraries.of(VALID_VMS, VALID_LISTING, VALID_GRANT),
                Arbitraries.integers().between(0, 150),
                Arbitraries.of("", "null", "{}", "[]", "-1", "1e999", "\"\"", "}", "99999999999"),
                Arbitraries.integers().between(0, 5))
            .as(ResponseFuzzTest::mutate);
    Arbitrary<byte[]> nested = Arbitraries.just("[".repeat(5_000).getBytes(StandardCharsets.UTF_8));
    return Arbitraries.oneOf(arbitrary, mutated, mutated, nested);
  }

  private static byte[] mutate(String valid, int at, String inserted, int removed) {
    int from = Math.min(at, valid.length());
    int to = Math.min(from + removed, valid.length());
    return (valid.substring(0, from) + inserted + valid.substring(to))
        .getBytes(StandardCharsets.UTF_8);
  }
}
