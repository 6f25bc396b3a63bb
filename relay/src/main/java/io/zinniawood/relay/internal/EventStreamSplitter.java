package io.zinniawood.relay.internal;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.zinniawood.core.frame.ForeignHead;
import io.zinniawood.core.frame.ForeignHeadScanner;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.function.Consumer;

/**
 * Splits the bytes of a server-sent event stream into complete events. Keeps the stream consistent
 * when it is resumed on another endpoint: drops events whose id was already relayed, and never
 * relays part of an event.
 */
public final class EventStreamSplitter {
  /**
   * Maximum event size. Hundreds of streams buffer an incomplete event each, so an endpoint that
   * sends an event without end must not fill the memory; usual events are below one kilobyte.
   */
  private static final int MAX_EVENT_BYTES = 64 * 1024;

  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private static final byte[] HTTP_VERSION = "HTTP/".getBytes(StandardCharsets.US_ASCII);

  /** Id of a block without an id, and the last id before the first event. */
  private static final long NO_ID = -1;

  private final ByteBuf pending = Unpooled.buffer();
  private long lastId;

  /**
   * Whether an event with an id was emitted. What comes before it goes with it, as the request can
   * still be sent elsewhere until then.
   */
  private boolean begun;

  /** Length of the complete blocks in the buffer that wait for the first event with an id. */
  private int heldBytes;

  /** Whether the present response has come as far as the caller. */
  private boolean caughtUp;

  private int scanIndex;

  /**
   * Creates a splitter.
   *
   * @param lastId id of the last event that the caller received; 0 if none
   */
  public EventStreamSplitter(long lastId) {
    this.lastId = lastId > 0 ? lastId : NO_ID;
  }

  /** Returns the id of the last event that was relayed or that the caller already had. */
  public long lastId() {
    return Math.max(0, lastId);
  }

  /**
   * Returns whether an end of the present response can be the end of the stream: after a whole
   * event that is no earlier than the last one that the caller has. An endpoint that fails within
   * an event, or before its first one, may still end its response in good form.
   */
  public boolean mayEndHere() {
    return caughtUp && !pending.isReadable();
  }

  /** Discards what is buffered of a response after its attempt ended. */
  public void endResponse() {
    pending.clear();
    scanIndex = 0;
    heldBytes = 0;
    caughtUp = false;
  }

  /**
   * Appends bytes to the buffer and emits each complete event.
   *
   * @param bytes bytes of the stream; not released
   * @param repeatableIds ids of the requests whose responses may be repeated within the stream
   * @param events receives each event including its final blank line, and must release it
   * @return false if the incomplete event exceeds the maximum size, or if a second response follows
   *     whole events or an incomplete one
   */
  public boolean split(ByteBuf bytes, Collection<String> repeatableIds, Consumer<ByteBuf> events) {
    pending.writeBytes(bytes);
    int end;
    while ((end = eventEnd()) >= 0) {
      scanIndex = end;
      int heldFrom = pending.readerIndex();
      ByteBuf block = pending.slice(heldFrom + heldBytes, end - heldFrom - heldBytes);
      if (startsWith(block, 0, HTTP_VERSION)
          || ForeignHeadScanner.scan(block::getByte, block.readableBytes(), repeatableIds)
              == ForeignHead.PRESENT) {
        return false;
      }
      long id = idOf(block);
      if (begun || id >= 0) {
        emit(id, pending.slice(heldFrom, end - heldFrom), events);
        pending.readerIndex(end);
        heldBytes = 0;
      } else {
        heldBytes = end - heldFrom;
      }
    }
    scanIndex = Math.max(0, scanIndex - pending.readerIndex());
    pending.discardReadBytes();
    return pending.readableBytes() <= MAX_EVENT_BYTES;
  }

  private void emit(long id, ByteBuf event, Consumer<ByteBuf> events) {
    if (id >= 0) {
      caughtUp |= id >= lastId;
      if (id <= lastId) {
        return;
      }
      lastId = id;
      begun = true;
    }
    events.accept(Unpooled.copiedBuffer(event));
  }

  /** Returns the index after the next blank line, or -1 if the buffer holds none. */
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
      if (startsWith(event, index, ID_FIELD)) {
        return parseId(event, index + ID_FIELD.length, end);
      }
      int newline = event.indexOf(index, end, (byte) '\n');
      if (newline < 0) {
        return NO_ID;
      }
      index = newline + 1;
    }
    return NO_ID;
  }

  private static boolean startsWith(ByteBuf event, int index, byte[] text) {
    if (index + text.length > event.writerIndex()) {
      return false;
    }
    for (int offset = 0; offset < text.length; offset++) {
      if (event.getByte(index + offset) != text[offset]) {
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
