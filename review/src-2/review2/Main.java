package review2;

import java.nio.file.Path;

/** Runs one case: its name and the file of its record. */
public final class Main {
  private Main() {}

  public static void main(String[] arguments) {
    int result = 2;
    try {
      Path record = Path.of(arguments[1]);
      result =
          switch (arguments[0]) {
            case "shared-removal" -> SharedRemoval.run(record);
            case "late-check-ins" -> LateCheckIns.run(record);
            case "foreign-entry" -> ForeignEntry.run(record);
            case "silent-removal" -> SilentRemoval.run(record);
            case "silent-store" -> SilentStore.run(record);
            default -> 2;
          };
    } catch (Throwable failure) {
      failure.printStackTrace();
    }
    System.exit(result);
  }
}
