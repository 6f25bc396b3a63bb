package review;

import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with seconds since the start. */
final class Record implements AutoCloseable {
  private final PrintStream file;
  private final long startNanos = System.nanoTime();

  Record(Path path) throws java.io.IOException {
    file = new PrintStream(Files.newOutputStream(path), true);
  }

  synchronized void line(String text) {
    line(System.nanoTime(), text);
  }

  synchronized void line(long atNanos, String text) {
    String line =
        String.format(Locale.ROOT, "%9.3f s  %s", (atNanos - startNanos) / 1e9, text);
    file.println(line);
    System.out.println(line);
  }

  @Override
  public synchronized void close() {
    file.close();
  }
}
