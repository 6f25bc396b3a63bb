package io.zinniawood.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Heap of the response bodies that are being read. Servers in trouble may send without end on many
 * connections. Bodies beyond their first step leave a quarter free, so that short ones can be read.
 */
public final class ResponseMemory {
  /** Amount in which a body reserves memory. */
  static final int STEP_BYTES = 64 * 1024;

  private static final int HEAP_DIVISOR = 4;
  private static final int FREE_DIVISOR = 4;
  private static final ResponseMemory OF_PROCESS =
      new ResponseMemory(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);

  private final long limitBytes;
  private final AtomicLong usedBytes = new AtomicLong();

  /** Creates an unused memory of the given size in bytes. */
  public ResponseMemory(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Returns the memory that all clients of this process share: a quarter of the heap. */
  public static ResponseMemory ofProcess() {
    return OF_PROCESS;
  }

  /**
   * Reserves memory for the next step of a body.
   *
   * @param reservedBytes bytes that the body has reserved already
   * @return false if memory is short
   */
  boolean tryReserveStep(long reservedBytes) {
    long availableBytes = reservedBytes == 0 ? limitBytes : limitBytes - limitBytes / FREE_DIVISOR;
    if (usedBytes.addAndGet(STEP_BYTES) <= availableBytes) {
      return true;
    }
    usedBytes.addAndGet(-STEP_BYTES);
    return false;
  }

  void release(long bytes) {
    usedBytes.addAndGet(-bytes);
  }
}
