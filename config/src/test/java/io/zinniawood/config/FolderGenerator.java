package io.zinniawood.config;

import io.vavr.collection.Vector;
import java.util.List;
import java.util.Random;

/** Generates valid configuration files with overlapping tables and one key per line. */
final class FolderGenerator {
  private static final List<String> TABLES =
      List.of(
          "client_accounts.kolikko",
          "client_accounts.strooibak",
          "models.chat",
          "models.brief",
          "services.credit",
          "services.refill",
          "objectives.kiosk",
          "objectives.drivers",
          "routing",
          "retries",
          "repair");
  private final Random random;

  FolderGenerator(long seed) {
    random = new Random(seed);
  }

  /** Returns files that are valid when merged; {@code 00-required.toml} has the required keys. */
  Vector<ConfigurationFile> files() {
    String required =
        """
        [models.chat]
        layers = 32
        [models.brief]
        layers = 8
        [services.credit]
        [services.refill]
        [objectives.kiosk]
        target = "chat"
        [objectives.drivers]
        target = "refill"
        """;
    Vector<ConfigurationFile> files =
        Vector.of(new ConfigurationFile("00-required.toml", "1", required));
    int count = random.nextInt(8);
    for (int i = 0; i < count; i++) {
      String name = "%d%d-part.toml".formatted(1 + random.nextInt(9), i);
      files = files.insert(random.nextInt(files.size() + 1), file(name));
    }
    return files;
  }

  private ConfigurationFile file(String name) {
    StringBuilder text = new StringBuilder();
    for (String table : TABLES) {
      if (random.nextInt(3) == 0) {
        text.append(random.nextInt(4) == 0 ? "# a comment\n\n" : "");
        text.append('[').append(table).append("]\n");
        for (String key : keys(table.split("\\.", -1)[0])) {
          if (random.nextInt(2) == 0) {
            text.append(key).append(" = ").append(value(key, table)).append('\n');
          }
        }
      }
    }
    return new ConfigurationFile(name, Integer.toString(random.nextInt(1000)), text.toString());
  }

  private static List<String> keys(String section) {
    return switch (section) {
      case "client_accounts" ->
          List.of("key_sha256", "requests_per_second", "weight", "priority", "max_concurrent");
      case "models" -> List.of("layers", "max_tokens", "weights_version");
      case "services" -> List.of("idempotent_methods", "key_retention_hours");
      case "objectives" -> List.of("target", "answered_share", "first_token_ms");
      case "routing" -> List.of("subset_size", "max_ejected_share");
      case "retries" -> List.of("max_attempts", "base_delay_ms", "max_delay_ms");
      default -> List.of("grace_ms", "lease_ms");
    };
  }

  private String value(String key, String table) {
    return switch (key) {
      case "key_sha256" -> "[\"%064x\"]".formatted(table.hashCode() + random.nextInt(9));
      case "requests_per_second" -> Double.toString(random.nextInt(1000) / 8.0);
      case "priority" -> List.of("\"batch\"", "\"normal\"", "\"interactive\"").get(pick(3));
      case "weights_version" -> "\"v%d \\\"\u00e9\\\"\"".formatted(pick(9));
      case "idempotent_methods" -> List.of("[]", "[\"GET\"]", "[\"PUT\", \"GET\"]").get(pick(3));
      case "target" -> List.of("\"chat\"", "\"brief\"", "\"credit\"").get(pick(3));
      case "answered_share", "max_ejected_share" -> "0." + (1 + pick(99));
      case "max_delay_ms" -> Integer.toString(1000 + pick(9000));
      case "lease_ms" -> Integer.toString(1000 + pick(1000));
      case "base_delay_ms" -> Integer.toString(pick(500));
      case "max_attempts" -> Integer.toString(1 + pick(100));
      default -> Integer.toString(1 + pick(900));
    };
  }

  private int pick(int bound) {
    return random.nextInt(bound);
  }
}
