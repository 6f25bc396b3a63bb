package io.zinniawood.core.overflow;

import io.zinniawood.core.route.EngineProfile;

/** Bytes that a request sends between data centres, and their price. */
public final class TransferBytes {
  /** Bytes of a stream event that an endpoint returns through the relay. */
  private static final double BYTES_PER_EVENT = 75;

  /** Bytes of a prompt token as text in the body of a request; English text has about four. */
  private static final double BODY_BYTES_PER_TOKEN = 4;

  /** Bytes of the header section and the fields of a request around its prompt. */
  private static final double REQUEST_BYTES = 1_000;

  private static final double BYTES_PER_GIGABYTE = 1e9;

  private TransferBytes() {}

  /** Returns the bytes of a whole path elsewhere: the request and its events. */
  public static double ofWholePath(double promptTokens, double answerTokens) {
    return REQUEST_BYTES + promptTokens * BODY_BYTES_PER_TOKEN + answerTokens * BYTES_PER_EVENT;
  }

  /**
   * Returns the bytes of a path that crosses once: the activations of all its tokens.
   *
   * @param tokens tokens of the prompt and the answer
   */
  public static double ofCrossing(EngineProfile engine, double tokens) {
    return tokens * engine.activationBytesPerToken();
  }

  /** Returns the delay in milliseconds that bytes are worth. */
  public static double costMillis(double bytes, double costMillisPerGigabyte) {
    return bytes / BYTES_PER_GIGABYTE * costMillisPerGigabyte;
  }
}
