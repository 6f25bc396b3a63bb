package io.zinniawood.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.config.internal.Field;
import io.zinniawood.config.internal.FolderSchema;
import io.zinniawood.config.internal.SettingsSchema;
import io.zinniawood.config.internal.TableSpec;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

final class DocumentationTest {
  private static final Path PAGE = Path.of("..", "docs", "configuration.md");

  // Guards against a key that is missing from the page, and against a default or range on the page
  // that differs from the schema.
  @Test
  void pageDescribesEveryKeyInOrder() throws IOException {
    Vector<Vector<String>> rows =
        Vector.ofAll(Files.readAllLines(PAGE))
            .filter(line -> line.startsWith("| `"))
            .map(line -> Vector.of(line.split("\\|", -1)).map(String::trim));
    Vector<TableSpec> entry = SettingsSchema.ENTRY.tables();
    Vector<TableSpec> agent =
        SettingsSchema.AGENT.tables().filter(table -> !table.name().equals("tls"));
    Vector<Field<?>> fields =
        FolderSchema.SCHEMA
            .tables()
            .appendAll(entry)
            .appendAll(agent)
            .appendAll(SettingsSchema.RELAY.tables())
            .flatMap(TableSpec::fields);
    assertThat(rows.map(row -> row.get(1)), is(fields.map(field -> "`" + field.name() + "`")));
    for (int i = 0; i < rows.size(); i++) {
      check(rows.get(i), fields.get(i));
    }
  }

  private static void check(Vector<String> row, Field<?> field) {
    String stated = row.get(4).replace("`", "").replace("\"", "");
    String actual = field.defaultValue().map(DocumentationTest::defaultText).getOrElse("required");
    assertThat(field.name(), canonical(stated), is(canonical(actual)));
    if (field.expected().contains(" from ") && !field.expected().startsWith("an IP")) {
      String range = field.expected().replaceAll(".* from ", "");
      assertThat(field.name(), row.get(5), is(range));
    }
  }

  private static String defaultText(Object value) {
    if (value instanceof Option<?> option) {
      return option.isEmpty() ? "none" : String.valueOf(option.get());
    }
    if (value instanceof io.vavr.collection.Set<?> set) {
      return set.map(String::valueOf).toVector().sorted().mkString("[", ", ", "]");
    }
    return value instanceof Enum<?> constant
        ? constant.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-')
        : String.valueOf(value);
  }

  private static String canonical(String value) {
    return value.endsWith(".0") ? value.substring(0, value.length() - 2) : value;
  }
}
