package io.zinniawood.dist;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.zinniawood.core.model.NodeAddress;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Checks that a process lives and stays within its bounds beside a crowd of callers, and that it
 * answers an ordinary request afterwards.
 */
final class CrowdCheck implements AutoCloseable {
  /** Time for which a crowd is watched if the process does not read everything. */
  private static final long CROWD_NANOS = TimeUnit.SECONDS.toNanos(8);

  /** Limit against a hang; far above the timeouts that end some of the crowds. */
  private static final long ANSWER_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** Options of an entry whose heap and direct memory a small crowd fills. */
  static final String SMALL_ENTRY_OPTIONS =
      "-Xmx64m -XX:MaxDirectMemorySize=16m -XX:+ExitOnOutOfMemoryError";

  /**
   * Memory of the smallest VM of an entry, 430 MB, less the 240 MB by which the options are below a
   * heap of 256 MB and a direct memory of 64 MB.
   */
  static final long SMALL_ENTRY_BYTES = 190_000_000;

  private final RoleProcess process;
  private final Bounds bounds;
  private final BooleanSupplier ordinaryAnswered;
  private final CallerCrowd crowd = new CallerCrowd();

  /**
   * Bounds of a process.
   *
   * @param residentBytes resident memory in bytes
   * @param descriptors number of open descriptors
   */
  record Bounds(long residentBytes, int descriptors) {}

  /**
   * Creates a check.
   *
   * @param ordinaryAnswered sends an ordinary request and returns whether it is answered as it is
   *     in calm
   */
  CrowdCheck(RoleProcess process, Bounds bounds, BooleanSupplier ordinaryAnswered) {
    this.process = process;
    this.bounds = bounds;
    this.ordinaryAnswered = ordinaryAnswered;
  }

  /** Adds callers to the crowd. */
  void join(NodeAddress address, int callers, CallerCrowd.Bytes bytes) {
    crowd.send(address, callers, bytes);
  }

  /** Watches the process until the crowd has sent everything or 8 s have passed. */
  void withstands() throws InterruptedException {
    long endNanos = System.nanoTime() + CROWD_NANOS;
    do {
      checkProcess();
      TimeUnit.MILLISECONDS.sleep(50);
    } while (crowd.sending() && System.nanoTime() - endNanos < 0);
    checkProcess();
    awaitOrdinaryAnswer();
    checkProcess();
  }

  /** Adds callers to the crowd and watches the process as {@link #withstands()} does. */
  void withstands(NodeAddress address, int callers, CallerCrowd.Bytes bytes)
      throws InterruptedException {
    join(address, callers, bytes);
    withstands();
  }

  /** Waits until an ordinary request is answered, at most 60 s. */
  void awaitOrdinaryAnswer() throws InterruptedException {
    long endNanos = System.nanoTime() + ANSWER_NANOS;
    while (!ordinaryAnswered.getAsBoolean()) {
      assertThat("the process lives", process.isAlive(), is(true));
      assertThat("an ordinary request is answered", System.nanoTime() - endNanos < 0, is(true));
      TimeUnit.MILLISECONDS.sleep(100);
    }
  }

  /** Terminates the process beside the crowd; it must end by itself, with exit code 0. */
  void drains() {
    process.signal("TERM");
    assertThat("exit code of the drain", process.awaitExitCode(), is(0));
  }

  private void checkProcess() {
    assertThat("the process lives", process.isAlive(), is(true));
    assertThat(process.usage().residentBytes(), lessThan(bounds.residentBytes()));
    assertThat(process.openDescriptors(), lessThan(bounds.descriptors()));
  }

  @Override
  public void close() throws IOException {
    crowd.close();
  }
}
