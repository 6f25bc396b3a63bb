package io.zinniawood.core.model;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Objects;

/** Immutable bytes. */
public final class Payload {
  private static final Payload EMPTY = new Payload(new byte[0]);

  private final byte[] bytes;

  private Payload(byte[] bytes) {
    this.bytes = bytes;
  }

  /** Wraps the array without a copy; the caller must not change it afterwards. */
  public static Payload wrap(byte[] bytes) {
    return new Payload(Objects.requireNonNull(bytes, "bytes"));
  }

  /** Returns the UTF-8 bytes of the text. */
  public static Payload ofText(String text) {
    return new Payload(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the payload without bytes. */
  public static Payload empty() {
    return EMPTY;
  }

  /** Returns the bytes without a copy; the caller must not change them. */
  public byte[] bytes() {
    return bytes;
  }

  /** Returns the number of bytes. */
  public int sizeBytes() {
    return bytes.length;
  }

  /** Decodes the bytes as UTF-8 text. */
  public String text() {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Payload that && Arrays.equals(bytes, that.bytes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    return "Payload[" + bytes.length + " bytes]";
  }
}
