package io.zinniawood.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.zinniawood.core.acceptance.AcceptedRow;
import io.zinniawood.core.acceptance.AcceptedSnapshot;
import io.zinniawood.core.acceptance.FileVersion;
import io.zinniawood.core.acceptance.FolderFile;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.model.Payload;
import java.nio.charset.StandardCharsets;

/**
 * Reads and writes the JSON of the store row {@code config/accepted} and of the snapshot object
 * that the row refers to.
 */
public final class AcceptanceCodec {
  private static final int MAX_ROW_BYTES = 16 * 1024;

  private AcceptanceCodec() {}

  /** Serialises the row {@code config/accepted} as a JSON object. */
  public static Payload encodeRow(AcceptedRow row) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    root.put("generation", row.generation().value());
    root.put("digest", row.digest());
    root.put("object", row.objectName());
    root.put("attempt", row.attempt().value());
    return Payload.ofText(root.toString());
  }

  /** Parses the row {@code config/accepted}; returns an error for invalid content, never throws. */
  public static Either<CodecError, AcceptedRow> decodeRow(Payload payload) {
    return ConfigurationCodec.parse(payload, MAX_ROW_BYTES)
        .flatMap(
            root -> {
              JsonNode generation = root.path("generation");
              String attempt = root.path("attempt").asText("");
              boolean valid =
                  generation.isIntegralNumber()
                      && generation.canConvertToLong()
                      && generation.longValue() > 0
                      && root.path("digest").isTextual()
                      && root.path("object").isTextual()
                      && isValidAttempt(attempt);
              return valid
                  ? Either.right(
                      new AcceptedRow(
                          new Generation(generation.longValue()),
                          root.path("digest").textValue(),
                          root.path("object").textValue(),
                          new AttemptId(attempt)))
                  : Either.left(
                      new CodecError.Malformed(
                          "expected an object with generation, digest, object and attempt"));
            });
  }

  /**
   * Serialises a snapshot; returns an error if it has more than {@value
   * ConfigurationCodec#MAX_BYTES} bytes even without the texts of the files.
   */
  public static Either<CodecError, Payload> encodeSnapshot(AcceptedSnapshot snapshot) {
    Either<CodecError, Payload> complete = encodeWithTexts(snapshot);
    return complete.isRight() || snapshot.mergedFiles().isEmpty()
        ? complete
        : encodeWithTexts(
            new AcceptedSnapshot(snapshot.configuration(), snapshot.files(), Vector.empty()));
  }

  private static Either<CodecError, Payload> encodeWithTexts(AcceptedSnapshot snapshot) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    root.set("accepted", ConfigurationCodec.toJson(snapshot.configuration()));
    ArrayNode files = root.putArray("files");
    for (FileVersion file : snapshot.files()) {
      files.addObject().put("name", file.name()).put("version", file.version());
    }
    ArrayNode merged = root.putArray("merged");
    for (FolderFile file : snapshot.mergedFiles()) {
      merged
          .addObject()
          .put("name", file.name())
          .put("version", file.version())
          .put("text", file.text());
    }
    byte[] bytes = root.toString().getBytes(StandardCharsets.UTF_8);
    return bytes.length > ConfigurationCodec.MAX_BYTES
        ? Either.left(new CodecError.TooLarge(bytes.length, ConfigurationCodec.MAX_BYTES))
        : Either.right(Payload.wrap(bytes));
  }

  /** Parses a snapshot and verifies its digest; returns an error for a fault, never throws. */
  public static Either<CodecError, AcceptedSnapshot> decodeSnapshot(Payload payload) {
    return ConfigurationCodec.parse(payload, ConfigurationCodec.MAX_BYTES)
        .flatMap(
            root ->
                ConfigurationCodec.fromJson(root.path("accepted"))
                    .flatMap(accepted -> readSnapshot(accepted, root)));
  }

  private static Either<CodecError, AcceptedSnapshot> readSnapshot(
      AcceptedConfiguration accepted, JsonNode root) {
    return readFiles(root.path("files"))
        .flatMap(
            files ->
                readMergedFiles(root.path("merged"))
                    .map(merged -> new AcceptedSnapshot(accepted, files, merged)));
  }

  /** Parses the files with texts, which snapshots of earlier releases lack. */
  private static Either<CodecError, Vector<FolderFile>> readMergedFiles(JsonNode array) {
    if (array.isMissingNode()) {
      return Either.right(Vector.empty());
    }
    Vector<JsonNode> items = Vector.ofAll(array);
    boolean valid =
        array.isArray()
            && items.forAll(
                item ->
                    item.path("name").isTextual()
                        && item.path("version").isTextual()
                        && item.path("text").isTextual());
    return valid
        ? Either.right(
            items.map(
                item ->
                    new FolderFile(
                        item.path("name").textValue(),
                        item.path("version").textValue(),
                        item.path("text").textValue())))
        : Either.left(
            new CodecError.Malformed(
                "expected a list of merged files with name, version and text"));
  }

  private static Either<CodecError, Vector<FileVersion>> readFiles(JsonNode array) {
    Vector<JsonNode> items = Vector.ofAll(array);
    boolean valid =
        array.isArray()
            && items.forAll(
                item -> item.path("name").isTextual() && item.path("version").isTextual());
    return valid
        ? Either.right(
            items.map(
                item ->
                    new FileVersion(
                        item.path("name").textValue(), item.path("version").textValue())))
        : Either.left(new CodecError.Malformed("expected a list of files with name and version"));
  }

  private static boolean isValidAttempt(String attempt) {
    return !attempt.isBlank() && attempt.length() <= 256;
  }
}
