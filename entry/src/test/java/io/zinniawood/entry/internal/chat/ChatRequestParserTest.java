package io.zinniawood.entry.internal.chat;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class ChatRequestParserTest {
  private static final String VALID_BODY =
      "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"a\",\"x\":1e999}]}";

  private final ChatRequestParser parser = new ChatRequestParser();

  private Either<ChatRequestError, ChatRequest> parse(String body) {
    return parser.parse(body.getBytes(StandardCharsets.UTF_8));
  }

  // Guards against bodies that cause an exception or a prompt that is not valid JSON.
  @Property(seed = "42", tries = 2_000)
  void anyBytesYieldTypedResult(@ForAll("bodies") byte[] body) throws IOException {
    Either<ChatRequestError, ChatRequest> result = parser.parse(body);
    if (result.isLeft()) {
      assertThat(result.getLeft().detail(), not(equalTo("")));
    } else {
      assertThat(
          new ObjectMapper().readTree(result.get().prompt().bytes()).isArray(), equalTo(true));
    }
  }

  @Provide
  Arbitrary<byte[]> bodies() {
    Arbitrary<byte[]> noise = Arbitraries.bytes().array(byte[].class).ofMaxSize(64);
    Arbitrary<byte[]> damaged =
        noise
            .list()
            .ofSize(1)
            .flatMap(
                inserted ->
                    Arbitraries.integers()
                        .between(0, VALID_BODY.length())
                        .map(position -> splice(position, inserted.get(0))));
    Arbitrary<String> value =
        Arbitraries.of(
            "null",
            "true",
            "1",
            "-1",
            "1e999",
            "1e99999999999",
            "9".repeat(400),
            "\"m\"",
            "\"\\ud800\"",
            "[]",
            "{}",
            "[[{}]]",
            "[{\"role\":\"user\",\"content\":\"a\"}]",
            "[{\"role\":1}]",
            "[{\"role\":\"user\",\"content\":[{\"type\":\"text\"}]}]",
            "[".repeat(100) + "]".repeat(100));
    Arbitrary<String> field =
        Arbitraries.of(
            "model",
            "messages",
            "stream",
            "stream_options",
            "max_tokens",
            "n",
            "tools",
            "stop",
            "response_format",
            "max_completion_tokens");
    Arbitrary<byte[]> documents =
        net.jqwik.api.Combinators.combine(field, value)
            .as((name, content) -> "\"%s\":%s".formatted(name, content))
            .list()
            .ofMaxSize(6)
            .map(fields -> "{" + String.join(",", fields) + "}")
            .map(text -> text.getBytes(StandardCharsets.UTF_8));
    return Arbitraries.oneOf(noise, damaged, documents);
  }

  private static byte[] splice(int position, byte[] inserted) {
    byte[] valid = VALID_BODY.getBytes(StandardCharsets.UTF_8);
    byte[] result = new byte[valid.length + inserted.length];
    System.arraycopy(valid, 0, result, 0, position);
    System.arraycopy(inserted, 0, result, position, inserted.length);
    System.arraycopy(valid, position, result, position + inserted.length, valid.length - position);
    return result;
  }

  // Guards against numbers that change their value or become invalid JSON in the prompt.
  @Test
  void numbersOfMessagesKeepTheirValue() {
    assertThat(parse(VALID_BODY).get().prompt().text(), containsString("1E+999"));
  }

  // Guards against errors that do not name the invalid field.
  @Test
  void errorsNameTheField() {
    String message = "\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]";
    for (List<String> sample :
        List.of(
            List.of("{" + message + "}", "model"),
            List.of("{\"model\":\"m\"}", "messages"),
            List.of("{\"model\":\"m\",\"messages\":[{\"role\":\"boss\"}]}", "messages[0].role"),
            List.of("{\"model\":\"m\"," + message + ",\"stream\":\"yes\"}", "stream"),
            List.of("{\"model\":\"m\"," + message + ",\"max_tokens\":0}", "max_tokens"),
            List.of("{\"model\":\"m\"," + message + ",\"n\":2}", "n"),
            List.of("{\"model\":\"m\"," + message + ",\"tools\":[{}]}", "tools"))) {
      assertThat(parse(sample.get(0)).getLeft().detail(), containsString("field " + sample.get(1)));
    }
  }

  // Guards against prompt text in problem documents and logs.
  @Test
  void syntaxErrorsDoNotQuoteTheBody() {
    ChatRequestError error = parse("{\"messages\": secret-prompt}").getLeft();
    assertThat(error, instanceOf(ChatRequestError.Malformed.class));
    assertThat(error.detail(), not(containsString("secret")));
  }
}
