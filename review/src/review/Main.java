package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
final class Main {
  private Main() {}

  private interface Case {
    boolean held(Record record, Path folder, boolean trouble) throws Exception;
  }

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Files.createTempDirectory("review");
    int exit;
    try (Record record = new Record(Path.of(arguments[1]))) {
      record.line("case " + arguments[0] + (trouble ? "" : ", without the disruption"));
      try {
        boolean held = find(arguments[0]).held(record, folder, trouble);
        record.line(held ? "the rule held" : "the rule was BROKEN");
        exit = held ? 0 : 1;
      } catch (Exception failure) {
        record.line("the case could not run: " + failure);
        exit = 2;
      }
    }
    delete(folder);
    System.exit(exit);
  }

  /** Deletes the settings and logs of the relays. */
  private static void delete(Path folder) {
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
      Files.delete(folder);
    } catch (IOException failure) {
      System.out.println("the temporary folder stays: " + failure);
    }
  }

  private static Case find(String name) {
    return switch (name) {
      case "early-answer-cut" -> EarlyAnswerCut::held;
      case "unreadable-entry" -> UnreadableEntry::held;
      case "late-check-in" -> LateCheckIn::held;
      case "cut-relay-returns" -> CutRelayReturns::held;
      case "former-relays" -> FormerRelays::held;
      default -> throw new Processes.CannotRun("no case " + name);
    };
  }
}
