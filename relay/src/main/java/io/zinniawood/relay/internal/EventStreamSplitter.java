package io.zinniawood.relay.internal;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Splits the bytes of an event stream into whole events and keeps their order over several
 * endpoints: an event whose id the caller already has is dropped, and a part of an event is never
 * passed on.
 */
public final class EventStreamSplitter {
  /** Longest event in bytes; the largest of the platform's are below a kilobyte. */
  private static final int MAX_EVENT_BYTES = 1024 * 1024;

  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private final ByteBuf pending = Unpooled.buffer();
  private long lastId;
  private int scanIndex;

  /**
   * Creates a splitter.
   *
   * @param lastId id of the last event that the caller has; 0 if it has none
   */
  public EventStreamSplitter(long lastId) {
    this.lastId = lastId;
  }

  /** Returns the id of the last event that was passed on. */
  public long lastId() {
    return lastId;
  }

  /** Tells whether bytes of an event that has not ended are kept. */
  public boolean hasPartialEvent() {
    return pending.isReadable();
  }

  /** Forgets a part of an event, after its endpoint broke off. */
  public void dropPartialEvent() {
    pending.clear();
    scanIndex = 0;
  }

  /**
   * Takes bytes and hands over each whole event.
   *
   * @param bytes bytes of the stream; not released
   * @param events gets each event with the blank line at its end, to be released by it
   * @return whether the bytes are an event stream; false if an event is too long
   */
  public boolean split(ByteBuf bytes, Consumer<ByteBuf> events) {
    pending.writeBytes(bytes);
    int start = pending.readerIndex();
    int end;
    while ((end = eventEnd()) >= 0) {
      ByteBuf event = pending.slice(start, end - start);
      emit(event, events);
      start = end;
      scanIndex = end;
      pending.readerIndex(end);
    }
    pending.discardReadBytes();
    scanIndex = Math.max(0, scanIndex - start);
    return pending.readableBytes() <= MAX_EVENT_BYTES;
  }

  private void emit(ByteBuf event, Consumer<ByteBuf> events) {
    long id = idOf(event);
    if (id >= 0 && id <= lastId) {
      return;
    }
    if (id >= 0) {
      lastId = id;
    }
    events.accept(Unpooled.copiedBuffer(event));
  }

  /** Returns the index after the next blank line, or -1. */
  private int eventEnd() {
    int writer = pending.writerIndex();
    for (int index = Math.max(scanIndex, pending.readerIndex()); index < writer; index++) {
      if (pending.getByte(index) != '\n') {
        continue;
      }
      int next = index + 1;
      if (next < writer && pending.getByte(next) == '\r') {
        next++;
      }
      if (next < writer && pending.getByte(next) == '\n') {
        return next + 1;
      }
      if (next >= writer) {
        scanIndex = index;
        return -1;
      }
    }
    scanIndex = writer;
    return -1;
  }

  private static long idOf(ByteBuf event) {
    int index = event.readerIndex();
    int end = event.writerIndex();
    while (index < end) {
      if (startsWithId(event, index, end)) {
        return parseId(event, index + ID_FIELD.length, end);
      }
      int newline = event.indexOf(index, end, (byte) '\n');
      if (newline < 0) {
        return -1;
      }
      index = newline + 1;
    }
    return -1;
  }

  private static boolean startsWithId(ByteBuf event, int index, int end) {
    if (index + ID_FIELD.length > end) {
      return false;
    }
    for (int offset = 0; offset < ID_FIELD.length; offset++) {
      if (event.getByte(index + offset) != ID_FIELD[offset]) {
        return false;
      }
    }
    return true;
  }

  private static long parseId(ByteBuf event, int from, int end) {
    int index = from;
    while (index < end && event.getByte(index) == ' ') {
      index++;
    }
    long value = -1;
    while (index < end && event.getByte(index) >= '0' && event.getByte(index) <= '9') {
      value = Math.max(0, value) * 10 + (event.getByte(index) - '0');
      index++;
    }
    return value;
  }
}
