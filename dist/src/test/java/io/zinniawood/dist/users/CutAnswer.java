package io.zinniawood.dist.users;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Random;

/**
 * Breaks an answer off within its length or its chunk, which the repetition of the answer then
 * fills in part or whole. The connection stays open.
 */
final class CutAnswer {
  private static final int MAX_DELAY_MILLIS = 30;
  private static final int MAX_CHUNK_EVENTS = 12;

  /** Share of the cuts after which a repetition ends where the frame does. */
  private static final int FITTED_ONE_IN = 3;

  private final OutputStream output;
  private final AnswerLedger ledger;
  private final Random random;

  CutAnswer(OutputStream output, AnswerLedger ledger, Random random) {
    this.output = output;
    this.ledger = ledger;
    this.random = random;
  }

  /** Cuts a plain answer with a length, or in the second of two chunks. */
  void sendPlain(AnswerIds ids, String body) throws IOException, InterruptedException {
    AnswerFraming framing = random.nextInt(3) == 0 ? AnswerFraming.CHUNKS : AnswerFraming.LENGTH;
    int start = framing == AnswerFraming.CHUNKS ? random.nextInt(body.length()) : 0;
    String repetition = ids.repetition(randomFraming());
    int cut = start + cutWithin(body.length() - start, filler(framing, repetition));
    ledger.plain(ids.signature(), 500, body.substring(0, cut), false);
    write(
        ids.head(200)
            + framing.endOfHead(body.length())
            + framing.part(body.substring(0, start))
            + framing.startOfPart(body.length() - start)
            + body.substring(start, cut),
        repetition);
  }

  /** Cuts a stream in a chunk of one or several events, after the events that were sent. */
  void endStream(AnswerIds ids, int firstEvent, int nextEvent)
      throws IOException, InterruptedException {
    String events = StreamEvents.events(nextEvent, 1 + random.nextInt(MAX_CHUNK_EVENTS));
    String repetition = ids.repetition(randomFraming());
    int cut = cutWithin(events.length(), filler(AnswerFraming.CHUNKS, repetition));
    String sent = events.substring(0, cut);
    ledger.stream(
        ids.signature(), 500, firstEvent, nextEvent - 1 + StreamEvents.complete(sent), false);
    write(AnswerFraming.CHUNKS.startOfPart(events.length()) + sent, repetition);
  }

  private AnswerFraming randomFraming() {
    return random.nextBoolean() ? AnswerFraming.LENGTH : AnswerFraming.CHUNKS;
  }

  /** Returns the bytes of a repetition after which a frame may end without a trace behind it. */
  private static int filler(AnswerFraming framing, String repetition) {
    // The blank line of the repetition's head is then the end of the chunk.
    return framing == AnswerFraming.CHUNKS
        ? repetition.indexOf("\r\n\r\n") + 2
        : repetition.length();
  }

  private int cutWithin(int frameBytes, int fillerBytes) {
    boolean fitted = random.nextInt(FITTED_ONE_IN) == 0 && fillerBytes <= frameBytes;
    return fitted ? frameBytes - fillerBytes : random.nextInt(frameBytes);
  }

  private void write(String cutAnswer, String repetition) throws IOException, InterruptedException {
    if (random.nextBoolean()) {
      output.write((cutAnswer + repetition).getBytes(StandardCharsets.UTF_8));
      return;
    }
    output.write(cutAnswer.getBytes(StandardCharsets.UTF_8));
    Thread.sleep(random.nextInt(MAX_DELAY_MILLIS));
    output.write(repetition.getBytes(StandardCharsets.UTF_8));
  }
}
