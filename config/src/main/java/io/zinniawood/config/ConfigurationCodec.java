package io.zinniawood.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.zinniawood.config.internal.ClusterReader;
import io.zinniawood.config.internal.ClusterWriter;
import io.zinniawood.config.internal.Json;
import io.zinniawood.config.internal.JsonTree;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.configuration.ClusterConfiguration;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.model.Payload;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Serialises accepted configurations as JSON. The canonical text of a configuration is a JSON
 * object with the tables and keys of the configuration folder in a fixed order, including keys that
 * have their default value.
 */
public final class ConfigurationCodec {
  /**
   * Largest size of a serialised configuration: half of the 8 MiB frame limit of the peer protocol,
   * which leaves room for the envelope.
   */
  public static final int MAX_BYTES = 4 * 1024 * 1024;

  private ConfigurationCodec() {}

  /** Returns the canonical JSON text, over which the digest is computed. */
  public static String canonicalText(ClusterConfiguration cluster) {
    return ClusterWriter.write(cluster).toString();
  }

  /** Returns the SHA-256 of the canonical text in lower-case hexadecimal. */
  public static String digest(ClusterConfiguration cluster) {
    return sha256Hex(canonicalText(cluster));
  }

  /** Serialises a configuration; returns an error above {@value #MAX_BYTES} bytes. */
  public static Either<CodecError, Payload> encode(AcceptedConfiguration configuration) {
    ObjectNode root = toJson(configuration);
    byte[] bytes = root.toString().getBytes(StandardCharsets.UTF_8);
    return bytes.length > MAX_BYTES
        ? Either.left(new CodecError.TooLarge(bytes.length, MAX_BYTES))
        : Either.right(Payload.wrap(bytes));
  }

  /** Parses a configuration and verifies its digest; returns an error for a fault, never throws. */
  public static Either<CodecError, AcceptedConfiguration> decode(Payload payload) {
    return parse(payload, MAX_BYTES).flatMap(ConfigurationCodec::fromJson);
  }

  static ObjectNode toJson(AcceptedConfiguration configuration) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    root.put("generation", configuration.generation().value());
    root.put("digest", configuration.digest());
    root.set("cluster", ClusterWriter.write(configuration.cluster()));
    return root;
  }

  static Either<CodecError, AcceptedConfiguration> fromJson(JsonNode root) {
    JsonNode generation = root.path("generation");
    JsonNode digest = root.path("digest");
    JsonNode cluster = root.path("cluster");
    boolean hasGeneration = generation.isIntegralNumber() && generation.canConvertToLong();
    if (!hasGeneration
        || generation.longValue() < 1
        || !digest.isTextual()
        || !cluster.isObject()) {
      return Either.left(
          new CodecError.Malformed(
              "expected an object with generation (an integer from 1), digest and cluster"));
    }
    // The digest covers the text as received, so that an older version of the program can verify
    // snapshots in which a newer version has added keys.
    String actual = sha256Hex(cluster.toString());
    if (!actual.equals(digest.textValue())) {
      return Either.left(new CodecError.DigestMismatch(digest.textValue(), actual));
    }
    Either<Vector<ConfigurationFault>, ClusterConfiguration> read =
        ClusterReader.read(JsonTree.read(cluster));
    return read.mapLeft(
            faults -> (CodecError) new CodecError.Malformed(faults.head().text().trim()))
        .map(
            found ->
                new AcceptedConfiguration(
                    new Generation(generation.longValue()), digest.textValue(), found));
  }

  static Either<CodecError, JsonNode> parse(Payload payload, int maxBytes) {
    if (payload.sizeBytes() > maxBytes) {
      return Either.left(new CodecError.TooLarge(payload.sizeBytes(), maxBytes));
    }
    try {
      JsonNode root = Json.MAPPER.readTree(payload.text());
      return root != null && root.isObject()
          ? Either.right(root)
          : Either.left(new CodecError.Malformed("expected a JSON object"));
    } catch (JsonProcessingException malformed) {
      return Either.left(new CodecError.Malformed(malformed.getOriginalMessage()));
    }
  }

  private static String sha256Hex(String text) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(sha256.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException("every Java platform provides SHA-256", missing);
    }
  }
}
