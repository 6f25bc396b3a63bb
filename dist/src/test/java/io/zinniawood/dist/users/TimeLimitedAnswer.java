package io.zinniawood.dist.users;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Ends an answer at the time limit of its request, as a failure or in good form. */
final class TimeLimitedAnswer {
  private static final int MAX_EARLY_MILLIS = 5;
  private static final int MAX_EVENTS = 5;

  /** Share of the plain answers that name the failure. */
  private static final int FAILURE_ONE_IN = 3;

  private final OutputStream output;
  private final AnswerLedger ledger;
  private final Random random;

  TimeLimitedAnswer(OutputStream output, AnswerLedger ledger, Random random) {
    this.output = output;
    this.ledger = ledger;
    this.random = random;
  }

  /** Answers a plain request; returns whether the connection stays open. */
  boolean sendPlain(AnswerIds ids, String body, long limitNanos)
      throws IOException, InterruptedException {
    if (random.nextInt(FAILURE_ONE_IN) == 0) {
      await(limitNanos);
      ledger.plain(ids.signature(), 504, "{}", true);
      write(ids.head(504) + AnswerFraming.LENGTH.endOfHead(2) + "{}");
      ledger.written(ids.signature());
      return true;
    }
    AnswerFraming framing = random.nextBoolean() ? AnswerFraming.CHUNKS : AnswerFraming.CONNECTION;
    String sent = body.substring(0, random.nextInt(body.length()));
    write(ids.head(200) + framing.endOfHead(0) + framing.part(sent));
    awaitEarly(limitNanos);
    ledger.plain(ids.signature(), 504, sent, false);
    write(framing.end());
    return framing.keepsConnection();
  }

  /** Ends a stream after some more events; returns whether the connection stays open. */
  boolean endStream(AnswerIds ids, int firstEvent, AnswerFraming framing, long limitNanos)
      throws IOException, InterruptedException {
    String events = StreamEvents.events(firstEvent, random.nextInt(MAX_EVENTS));
    write(framing.part(events));
    awaitEarly(limitNanos);
    int lastEvent = firstEvent - 1 + StreamEvents.complete(events);
    ledger.stream(ids.signature(), 504, firstEvent, lastEvent, false);
    write(framing.end());
    return framing.keepsConnection();
  }

  private void awaitEarly(long limitNanos) throws InterruptedException {
    await(limitNanos - TimeUnit.MILLISECONDS.toNanos(random.nextInt(MAX_EARLY_MILLIS + 1)));
  }

  private static void await(long nanos) throws InterruptedException {
    TimeUnit.NANOSECONDS.sleep(nanos - System.nanoTime());
  }

  private void write(String text) throws IOException {
    output.write(text.getBytes(StandardCharsets.UTF_8));
  }
}
