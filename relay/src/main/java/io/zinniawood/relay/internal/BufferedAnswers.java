package io.zinniawood.relay.internal;

/**
 * Memory of all answers that are buffered until they are complete. An endpoint in trouble may send
 * bytes without end; several of them must not use up the memory of the process.
 */
final class BufferedAnswers {
  private final long maxTotalBytes;
  private final int maxAnswerBytes;
  private long totalBytes;

  /**
   * Creates an empty account.
   *
   * @param maxTotalBytes maximum size of all buffered answers together
   * @param maxAnswerBytes maximum size of one answer
   */
  BufferedAnswers(long maxTotalBytes, int maxAnswerBytes) {
    this.maxTotalBytes = maxTotalBytes;
    this.maxAnswerBytes = maxAnswerBytes;
  }

  /**
   * Reserves memory for more bytes of an answer.
   *
   * @param bufferedBytes bytes of the answer that are buffered already
   * @return false if the answer or all answers together would become too large
   */
  boolean tryReserve(int bufferedBytes, int moreBytes) {
    if (bufferedBytes + moreBytes > maxAnswerBytes || totalBytes + moreBytes > maxTotalBytes) {
      return false;
    }
    totalBytes += moreBytes;
    return true;
  }

  /** Releases the memory of an answer. */
  void release(int bytes) {
    totalBytes -= bytes;
  }

  long totalBytes() {
    return totalBytes;
  }
}
