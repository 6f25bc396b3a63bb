package io.zinniawood.wire.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import io.vavr.control.Either;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.message.Message;
import io.zinniawood.wire.WireError;
import io.zinniawood.wire.generated.WireProto;
import io.zinniawood.wire.generated.WireProto.Envelope;
import java.util.Arrays;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

final class MessageCodecTest {
  private static EnvelopeCodec codec() {
    EnvelopeCodec codec = new EnvelopeCodec(new PeerMemory(Long.MAX_VALUE));
    codec.handshakeCompleted();
    return codec;
  }

  // The encoder and the decoder must cover every field of every message.
  @Test
  void decodedMessagesEqualEncodedMessages() {
    for (Message message : SampleMessages.all()) {
      Envelope envelope = MessageEncoder.encode(message, new Generation(42));
      EmbeddedChannel out = new EmbeddedChannel(codec());
      out.writeOutbound(envelope);
      EmbeddedChannel in = new EmbeddedChannel(codec());
      in.writeInbound(out.<Object>readOutbound());
      Envelope received = in.readInbound();
      assertThat(received.getGeneration(), is(42L));
      assertThat(MessageDecoder.decode(received), equalTo(Either.right(message)));
    }
  }

  // The round-trip test only covers message types that have a sample.
  @Test
  void samplesCoverEveryMessageType() {
    assertThat(
        SampleMessages.all().map(Object::getClass).toJavaSet(),
        equalTo(Arrays.stream(Message.class.getPermittedSubclasses()).collect(Collectors.toSet())));
  }

  // The decoder must return an error for missing or invalid fields instead of throwing.
  @Test
  void invalidFieldsAreTypedErrors() {
    Envelope noState = Envelope.newBuilder().setStatus(WireProto.Status.newBuilder()).build();
    Either<WireError, Message> result = MessageDecoder.decode(noState);
    assertThat(result.getLeft().detail(), containsString("ServingState is not set"));
    Envelope empty = Envelope.newBuilder().build();
    assertThat(MessageDecoder.decode(empty).getLeft().detail(), containsString("body is not set"));
  }

  // A corrupted frame must not cause any exception other than a DecoderException.
  @Property(seed = "20261204", tries = 2_000)
  void corruptedFramesEndInTypedErrors(
      @ForAll @IntRange(max = 28) int sample, @ForAll @Size(max = 6) int[] flips) {
    Message message = SampleMessages.all().get(sample % SampleMessages.all().size());
    byte[] bytes = MessageEncoder.encode(message, new Generation(1)).toByteArray();
    for (int flip : flips) {
      int index = Math.floorMod(flip, Math.max(1, bytes.length));
      bytes[index] ^= (byte) (1 << Math.floorMod(flip >> 8, 8));
    }
    EmbeddedChannel in = new EmbeddedChannel(codec());
    try {
      in.writeInbound(
          Unpooled.wrappedBuffer(Unpooled.copyInt(bytes.length), Unpooled.wrappedBuffer(bytes)));
      Envelope received = in.readInbound();
      MessageDecoder.decode(received);
    } catch (DecoderException expected) {
      assertThat(expected.getCause(), instanceOf(java.io.IOException.class));
    }
  }

  // A peer must not be able to make an agent run out of memory by announcing a large frame.
  @Test
  void oversizedFrameLengthIsRejected() {
    EmbeddedChannel in = new EmbeddedChannel(codec());
    try {
      in.writeInbound(Unpooled.copyInt(EnvelopeCodec.MAX_FRAME_BYTES + 1));
    } catch (DecoderException expected) {
      assertThat(expected.getMessage(), containsString("at most 8388608"));
      return;
    }
    throw new AssertionError("the oversized frame was accepted");
  }
}
