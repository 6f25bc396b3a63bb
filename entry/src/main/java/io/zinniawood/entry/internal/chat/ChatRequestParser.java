package io.zinniawood.entry.internal.chat;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.model.Payload;
import io.zinniawood.entry.internal.chat.ChatRequest.Delivery;
import io.zinniawood.entry.internal.chat.ChatRequestError.InvalidField;
import io.zinniawood.entry.internal.chat.ChatRequestError.Malformed;
import io.zinniawood.entry.internal.chat.ChatRequestError.Unsupported;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;

/**
 * Parses chat requests. Sampling fields and unknown fields are ignored; fields that would change
 * the form of the answer are rejected.
 */
public final class ChatRequestParser {
  /** Limits the parser's recursion; far above the nesting of any real chat request. */
  private static final int MAX_NESTING = 32;

  /** Length limit that applies to all ids. */
  private static final int MAX_MODEL_CHARACTERS = 256;

  /** Limits the cost of hashing a long first message. */
  private static final int MAX_HASHED_PREFIX_BYTES = 4_096;

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private static final Set<String> ROLES =
      Set.of("system", "developer", "user", "assistant", "tool", "function");
  private static final List<String> UNSUPPORTED_FIELDS =
      List.of("tools", "functions", "stop", "audio", "logprobs", "modalities", "logit_bias");

  private final ObjectMapper mapper;

  /** Creates a parser. */
  public ChatRequestParser() {
    JsonFactory factory =
        JsonFactory.builder()
            .streamReadConstraints(
                StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING).build())
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();
    mapper =
        JsonMapper.builder(factory)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            // As a double, 1e999 would become Infinity, which has no JSON form when the prompt
            // is serialized.
            .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
            .build();
  }

  /** Parses a body. */
  public Either<ChatRequestError, ChatRequest> parse(byte[] body) {
    return readTree(body).flatMap(this::parseTree);
  }

  private Either<ChatRequestError, JsonNode> readTree(byte[] body) {
    try {
      // The decoder reports malformed input; new String would silently replace it.
      String text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body)).toString();
      JsonNode json = mapper.readTree(text);
      return json.isObject()
          ? Either.right(json)
          : Either.left(new Malformed("the body must be a JSON object"));
    } catch (CharacterCodingException invalid) {
      return Either.left(new Malformed("the body is not valid UTF-8"));
    } catch (JsonProcessingException invalid) {
      // The message of the exception can quote the prompt, so only its position is returned.
      String position =
          invalid.getLocation() == null
              ? ""
              : " at line %d, column %d"
                  .formatted(
                      invalid.getLocation().getLineNr(), invalid.getLocation().getColumnNr());
      return Either.left(new Malformed("the body is not valid JSON" + position));
    } catch (NumberFormatException invalid) {
      return Either.left(new Malformed("a number in the body is out of range"));
    }
  }

  private Either<ChatRequestError, ChatRequest> parseTree(JsonNode json) {
    JsonNode messages = json.path("messages");
    return checkModel(json.path("model"))
        .flatMap(
            model ->
                checkMessages(messages)
                    .<Either<ChatRequestError, ChatRequest>>map(Either::left)
                    .getOrElse(() -> parseOptions(json, model, messages)));
  }

  private Either<ChatRequestError, ChatRequest> parseOptions(
      JsonNode json, ModelId model, JsonNode messages) {
    Option<ChatRequestError> unsupported = checkUnsupported(json);
    if (unsupported.isDefined()) {
      return Either.left(unsupported.get());
    }
    return parseMaxTokens(json)
        .flatMap(
            maxTokens ->
                parseDelivery(json)
                    .flatMap(
                        delivery ->
                            encode(messages)
                                .map(
                                    prompt ->
                                        new ChatRequest(
                                            model,
                                            prompt,
                                            prefixHash(messages.get(0)),
                                            maxTokens,
                                            delivery))));
  }

  private static Either<ChatRequestError, Payload> encode(JsonNode messages) {
    try {
      ByteBuffer encoded =
          StandardCharsets.UTF_8.newEncoder().encode(CharBuffer.wrap(messages.toString()));
      byte[] bytes = new byte[encoded.remaining()];
      encoded.get(bytes);
      return Either.right(Payload.wrap(bytes));
    } catch (CharacterCodingException invalid) {
      return Either.left(new Malformed("field messages contains an unpaired surrogate"));
    }
  }

  private static Either<ChatRequestError, ModelId> checkModel(JsonNode model) {
    boolean valid =
        model.isTextual()
            && !model.textValue().isBlank()
            && model.textValue().length() <= MAX_MODEL_CHARACTERS;
    return valid
        ? Either.right(new ModelId(model.textValue()))
        : Either.left(new InvalidField("model", "the id of a model"));
  }

  private static Option<ChatRequestError> checkMessages(JsonNode messages) {
    if (!messages.isArray() || messages.isEmpty()) {
      return Option.some(new InvalidField("messages", "a non-empty array"));
    }
    for (int index = 0; index < messages.size(); index++) {
      JsonNode message = messages.get(index);
      String field = "messages[%d]".formatted(index);
      if (!message.path("role").isTextual() || !ROLES.contains(message.path("role").asText())) {
        return Option.some(
            new InvalidField(
                field + ".role", "one of system, developer, user, assistant, tool, function"));
      }
      Option<ChatRequestError> error = checkContent(field + ".content", message);
      if (error.isDefined()) {
        return error;
      }
    }
    return Option.none();
  }

  private static Option<ChatRequestError> checkContent(String field, JsonNode message) {
    JsonNode content = message.path("content");
    if (content.isTextual()) {
      return Option.none();
    }
    boolean empty = content.isNull() || content.isMissingNode();
    if (empty && "assistant".equals(message.path("role").asText())) {
      return Option.none();
    }
    if (!content.isArray() || content.isEmpty()) {
      return Option.some(new InvalidField(field, "text or a non-empty array of text parts"));
    }
    for (JsonNode part : content) {
      if (!"text".equals(part.path("type").asText()) || !part.path("text").isTextual()) {
        return Option.some(new Unsupported(field));
      }
    }
    return Option.none();
  }

  private static Option<ChatRequestError> checkUnsupported(JsonNode json) {
    JsonNode choiceCount = json.path("n");
    if (!isAbsent(choiceCount) && !(choiceCount.isIntegralNumber() && choiceCount.asLong() == 1)) {
      return Option.some(new Unsupported("n"));
    }
    JsonNode responseFormat = json.path("response_format");
    if (!isAbsent(responseFormat) && !"text".equals(responseFormat.path("type").asText())) {
      return Option.some(new Unsupported("response_format"));
    }
    for (String field : UNSUPPORTED_FIELDS) {
      JsonNode value = json.path(field);
      boolean isUnset =
          isAbsent(value)
              || (value.isContainerNode() && value.isEmpty())
              || (value.isBoolean() && !value.booleanValue());
      if (!isUnset) {
        return Option.some(new Unsupported(field));
      }
    }
    return Option.none();
  }

  private static Either<ChatRequestError, Option<Integer>> parseMaxTokens(JsonNode json) {
    Option<Integer> lowest = Option.none();
    for (String field : List.of("max_completion_tokens", "max_tokens")) {
      JsonNode value = json.path(field);
      if (isAbsent(value)) {
        continue;
      }
      if (!value.isIntegralNumber() || !value.canConvertToInt() || value.intValue() < 1) {
        return Either.left(new InvalidField(field, "a positive integer"));
      }
      lowest = Option.some(Math.min(lowest.getOrElse(Integer.MAX_VALUE), value.intValue()));
    }
    return Either.right(lowest);
  }

  private static Either<ChatRequestError, Delivery> parseDelivery(JsonNode json) {
    JsonNode stream = json.path("stream");
    JsonNode options = json.path("stream_options");
    JsonNode usage = options.path("include_usage");
    if (!isAbsent(stream) && !stream.isBoolean()) {
      return Either.left(new InvalidField("stream", "true or false"));
    }
    if (!isAbsent(options) && !options.isObject()) {
      return Either.left(new InvalidField("stream_options", "an object"));
    }
    if (!isAbsent(usage) && !usage.isBoolean()) {
      return Either.left(new InvalidField("stream_options.include_usage", "true or false"));
    }
    if (!stream.asBoolean(false)) {
      return Either.right(Delivery.SINGLE_DOCUMENT);
    }
    return Either.right(usage.asBoolean(false) ? Delivery.STREAM_WITH_USAGE : Delivery.STREAM);
  }

  private static boolean isAbsent(JsonNode value) {
    return value.isMissingNode() || value.isNull();
  }

  private static long prefixHash(JsonNode firstMessage) {
    byte[] bytes = firstMessage.toString().getBytes(StandardCharsets.UTF_8);
    long hash = FNV_OFFSET;
    for (int index = 0; index < Math.min(bytes.length, MAX_HASHED_PREFIX_BYTES); index++) {
      hash = (hash ^ (bytes[index] & 0xff)) * FNV_PRIME;
    }
    return hash;
  }
}
