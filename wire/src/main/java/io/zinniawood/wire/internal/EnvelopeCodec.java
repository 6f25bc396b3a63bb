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

/**
 * Frames envelopes with a 4-byte big-endian length prefix, and counts the buffer that collects the
 * next frame.
 */
final class EnvelopeCodec extends ByteToMessageCodec<Envelope> {
  /** Largest envelope in bytes; limits the memory that a peer can make this process allocate. */
  static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

  /** Largest envelope before the handshake is complete; a handshake has less than 1 KiB. */
  static final int MAX_HANDSHAKE_BYTES = 16 * 1024;

  private static final int LENGTH_BYTES = 4;

  private final PeerMemory memory;
  private int maxReceivedBytes = MAX_HANDSHAKE_BYTES;
  private int heldBytes;

  EnvelopeCodec(PeerMemory memory) {
    this.memory = memory;
  }

  /** Accepts envelopes of all sizes, as the peer is known. */
  void handshakeCompleted() {
    maxReceivedBytes = MAX_FRAME_BYTES;
  }

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
      hold(context, in.capacity());
      return;
    }
    int sizeBytes = in.getInt(in.readerIndex());
    if (sizeBytes < 0 || sizeBytes > maxReceivedBytes) {
      throw new CorruptedFrameException(
          "frame length is %d bytes, at most %d are allowed"
              .formatted(sizeBytes, maxReceivedBytes));
    }
    if (in.readableBytes() < LENGTH_BYTES + sizeBytes) {
      hold(context, in.capacity());
      return;
    }
    hold(context, 0);
    in.skipBytes(LENGTH_BYTES);
    ByteBuf frame = in.readSlice(sizeBytes);
    out.add(Envelope.parseFrom(CodedInputStream.newInstance(frame.nioBuffer())));
  }

  private void hold(ChannelHandlerContext context, int bytes) {
    if (bytes != heldBytes) {
      heldBytes = bytes;
      memory.setReceived(context.channel(), bytes);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    super.channelInactive(context);
    hold(context, 0);
  }
}
