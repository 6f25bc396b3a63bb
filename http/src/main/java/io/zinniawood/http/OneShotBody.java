package io.zinniawood.http;

import java.io.IOException;
import okhttp3.MediaType;
import okhttp3.RequestBody;
import okio.BufferedSink;

/** Request body that OkHttp sends at most once. */
public final class OneShotBody extends RequestBody {
  private final MediaType type;
  private final byte[] bytes;

  /**
   * Creates the body.
   *
   * @param type media type, null if unknown
   * @param bytes content
   */
  public OneShotBody(MediaType type, byte[] bytes) {
    this.type = type;
    this.bytes = bytes;
  }

  @Override
  public MediaType contentType() {
    return type;
  }

  @Override
  public long contentLength() {
    return bytes.length;
  }

  @Override
  public boolean isOneShot() {
    return true;
  }

  @Override
  public void writeTo(BufferedSink sink) throws IOException {
    sink.write(bytes);
  }
}
