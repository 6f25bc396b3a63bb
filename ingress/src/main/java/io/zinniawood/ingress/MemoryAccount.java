package io.zinniawood.ingress;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Direct memory of one kind of bytes that a peer decides the amount of. Buffers are allocated by
 * the account's own allocator and count until their last reference is released. If memory is short,
 * the largest incomplete buffer gives way; buffers above 1/64 of the account leave a quarter of it
 * free.
 */
public final class MemoryAccount {
  private static final int LARGE_DIVISOR = 64;
  private static final int RESERVE_DIVISOR = 4;

  private final UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(true);
  private final Set<AccountedBytes> incomplete = new HashSet<>();
  private final long limitBytes;
  private final int maxBufferBytes;
  private final ShortageListener listener;
  private BooleanSupplier relief = () -> false;
  private long heldBytes;

  /** Receives the shortages of an account. */
  @FunctionalInterface
  public interface ShortageListener {
    /** Bytes were refused because the account is full. */
    void memoryShort(long usedBytes, long limitBytes);
  }

  /**
   * Creates an empty account.
   *
   * @param limitBytes maximum size of all buffers together
   * @param maxBufferBytes maximum size of one buffer
   * @param listener called for each refusal because of the limit of all buffers
   */
  public MemoryAccount(long limitBytes, int maxBufferBytes, ShortageListener listener) {
    this.limitBytes = limitBytes;
    this.maxBufferBytes = maxBufferBytes;
    this.listener = listener;
  }

  /** Returns the memory in use, in bytes. */
  public long usedBytes() {
    return heldBytes + allocator.metric().usedDirectMemory();
  }

  /**
   * Sets the number of bytes that are held in other buffers than the account's own.
   *
   * @return false if they exceed the limit, so that some must be released
   */
  public boolean hold(long bytes) {
    heldBytes = bytes;
    if (usedBytes() <= limitBytes) {
      return true;
    }
    listener.memoryShort(usedBytes(), limitBytes);
    return false;
  }

  /** Sets the number of bytes that are held in other buffers, after some were released. */
  void lower(long bytes) {
    heldBytes = bytes;
  }

  public long limitBytes() {
    return limitBytes;
  }

  public int maxBufferBytes() {
    return maxBufferBytes;
  }

  /**
   * Sets what releases complete buffers when no incomplete one can give way.
   *
   * @param release returns whether it released any
   */
  public void relievedBy(BooleanSupplier release) {
    relief = release;
  }

  /** Allocates a buffer for the holder, or returns empty if other buffers leave no room for it. */
  Optional<ByteBuf> allocate(AccountedBytes holder, int capacityBytes) {
    long reserveBytes =
        capacityBytes > limitBytes / LARGE_DIVISOR ? limitBytes / RESERVE_DIVISOR : 0;
    while (usedBytes() + capacityBytes > limitBytes - reserveBytes) {
      listener.memoryShort(usedBytes(), limitBytes);
      Optional<AccountedBytes> largest =
          incomplete.stream().max(Comparator.comparingInt(AccountedBytes::capacityBytes));
      if (largest.isEmpty()
          || largest.get() == holder
          || largest.get().capacityBytes() < capacityBytes) {
        if (!relief.getAsBoolean()) {
          return Optional.empty();
        }
      } else {
        largest.get().evict();
      }
    }
    return Optional.of(allocator.directBuffer(capacityBytes, maxBufferBytes));
  }

  int capacityFor(int bytes) {
    return allocator.calculateNewCapacity(bytes, maxBufferBytes);
  }

  void opened(AccountedBytes holder) {
    incomplete.add(holder);
  }

  void closed(AccountedBytes holder) {
    incomplete.remove(holder);
  }
}
