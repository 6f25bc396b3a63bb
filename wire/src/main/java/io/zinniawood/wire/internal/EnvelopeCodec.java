package io.zinniawood.wire.internal;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import io.netty.handler.codec.CorruptedFrameException;
import io.zinniawood.wire.generated.WireProto.Envelope;
import java.io.IOException;
import java.util.List;

/** Frames envelopes with a 4-byte big-endian length prefix. */
final class EnvelopeCodec extends ByteToMessageCodec<Envelope> {
  /** Largest envelope in bytes; limits the memory that a peer can make this process allocate. */
  static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

  private static final int LENGTH_BYTES = 4;

  @Override
  protected void encode(ChannelHandlerContext context, Envelope envelope, ByteBuf out)
      throws IOException {
    int sizeBytes = envelope.getSerializedSize();
    if (sizeBytes > MAX_FRAME_BYTES) {
      throw new CorruptedFrameException(
          "%s message has %d bytes, at most %d are allowed"
              .formatted(envelope.getBodyCase(), sizeBytes, MAX_FRAME_BYTES));
    }
    out.ensureWritable(LENGTH_BYTES + sizeBytes);
    out.writeInt(sizeBytes);
    CodedOutputStream stream =
        CodedOutputStream.newInstance(out.nioBuffer(out.writerIndex(), sizeBytes));
    envelope.writeTo(stream);
    stream.flush();
    out.writerIndex(out.writerIndex() + sizeBytes);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws IOException {
    if (in.readableBytes() < LENGTH_BYTES) {
      return;
    }
    int sizeBytes = in.getInt(in.readerIndex());
    if (sizeBytes < 0 || sizeBytes > MAX_FRAME_BYTES) {
      throw new CorruptedFrameException(
          "frame length is %d bytes, at most %d are allowed".formatted(sizeBytes, MAX_FRAME_BYTES));
    }
    if (in.readableBytes() < LENGTH_BYTES + sizeBytes) {
      return;
    }
    in.skipBytes(LENGTH_BYTES);
    ByteBuf frame = in.readSlice(sizeBytes);
    out.add(Envelope.parseFrom(CodedInputStream.newInstance(frame.nioBuffer())));
  }
}
