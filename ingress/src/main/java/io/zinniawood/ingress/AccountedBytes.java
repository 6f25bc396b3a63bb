package io.zinniawood.ingress;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Optional;

/** Bytes of an incomplete message, collected in the memory of an account. */
public final class AccountedBytes {
  private final MemoryAccount account;
  private final Runnable onEvicted;
  private ByteBuf bytes = Unpooled.EMPTY_BUFFER;
  private boolean closed;

  /**
   * Creates an empty collection.
   *
   * @param onEvicted called when the bytes were released because the account needs the memory
   */
  public AccountedBytes(MemoryAccount account, Runnable onEvicted) {
    this.account = account;
    this.onEvicted = onEvicted;
  }

  /**
   * Copies more bytes, which are not released.
   *
   * @return false if the message or the account becomes too large, or if it has given way to
   *     another
   */
  public boolean append(ByteBuf more) {
    int neededBytes = bytes.readableBytes() + more.readableBytes();
    if (closed || neededBytes > account.maxBufferBytes()) {
      return false;
    }
    if (neededBytes > bytes.capacity() && !grow(neededBytes)) {
      return false;
    }
    if (more.isReadable()) {
      bytes.writeBytes(more, more.readerIndex(), more.readableBytes());
    }
    return true;
  }

  private boolean grow(int neededBytes) {
    boolean first = bytes.capacity() == 0;
    Optional<ByteBuf> grown =
        account.allocate(this, first ? neededBytes : account.capacityFor(neededBytes));
    if (grown.isEmpty() || closed) {
      grown.ifPresent(ByteBuf::release);
      return false;
    }
    grown.get().writeBytes(bytes);
    bytes.release();
    bytes = grown.get();
    if (first) {
      account.opened(this);
    }
    return true;
  }

  /** Returns the number of bytes that were collected. */
  public int readableBytes() {
    return bytes.readableBytes();
  }

  int capacityBytes() {
    return bytes.capacity();
  }

  void evict() {
    release();
    onEvicted.run();
  }

  /** Returns the complete bytes, which the caller must release. */
  public ByteBuf take() {
    ByteBuf taken = bytes;
    close();
    return taken;
  }

  /** Releases the bytes, unless they were taken or released before. */
  public void release() {
    if (!closed) {
      bytes.release();
      close();
    }
  }

  private void close() {
    closed = true;
    bytes = Unpooled.EMPTY_BUFFER;
    account.closed(this);
  }
}
