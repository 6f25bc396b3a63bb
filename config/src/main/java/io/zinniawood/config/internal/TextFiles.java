package io.zinniawood.config.internal;

import io.vavr.control.Either;
import io.zinniawood.config.ConfigurationFault;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads small text files and reports failures as faults. */
public final class TextFiles {
  private TextFiles() {}

  /**
   * Reads a file as UTF-8.
   *
   * @param file path of the file
   * @param name file name for faults
   */
  public static Either<ConfigurationFault, String> read(Path file, String name) {
    try {
      long sizeBytes = Files.size(file);
      // UTF-8 uses at most four bytes for a character; the parser checks the exact character limit.
      return sizeBytes > 4L * TomlDocument.MAX_CHARACTERS
          ? Either.left(
              fault(
                  name,
                  "%d bytes".formatted(sizeBytes),
                  "at most %d characters".formatted(TomlDocument.MAX_CHARACTERS)))
          : Either.right(Files.readString(file));
    } catch (CharacterCodingException invalid) {
      return Either.left(fault(name, "bytes that are not UTF-8", "UTF-8 text"));
    } catch (IOException failed) {
      return Either.left(unreadableFault(name, failed, "a TOML file"));
    }
  }

  /** Returns the fault of a file or folder that cannot be read. */
  public static ConfigurationFault unreadableFault(
      String name, IOException failed, String expected) {
    return fault(
        name, "an unreadable path (%s)".formatted(failed.getClass().getSimpleName()), expected);
  }

  private static ConfigurationFault fault(String name, String found, String expected) {
    return new ConfigurationFault(
        ValueFormatter.escapeControlCharacters(name), 1, 1, "", found, expected);
  }
}
