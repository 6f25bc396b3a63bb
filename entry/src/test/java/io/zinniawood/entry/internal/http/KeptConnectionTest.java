package io.zinniawood.entry.internal.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.jooby.Context;
import io.jooby.Jooby;
import io.vavr.control.Option;
import io.zinniawood.core.entry.Readiness;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.model.NodeAddress;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

// Only ends a test that hangs; no assertion depends on this timeout.
@Timeout(60)
class KeptConnectionTest {
  private static final String ANSWER = "answer";
  private static final int MAX_OPEN = 10;

  private final OpenRequests openRequests = new OpenRequests(MAX_OPEN, abandoned -> {});
  private final CountDownLatch nextAnswered = new CountDownLatch(1);

  /** Ends each request on a thread that is held after the last write of the answer. */
  private Context answerAndHold(Context context) {
    Option<CallerChannel> channel = CallerChannel.of(context);
    channel.forEach(CallerChannel::markBusy);
    RequestLifecycle lifecycle = new RequestLifecycle(new RequestId("1"), openRequests, channel);
    Thread ending = new Thread(() -> endAndHold(context, lifecycle));
    ending.setDaemon(true);
    ending.start();
    return context;
  }

  private void endAndHold(Context context, RequestLifecycle lifecycle) {
    Thread ending = Thread.currentThread();
    lifecycle.end(
        context,
        () -> {
          context.send(ANSWER);
          if (Thread.currentThread() == ending) {
            awaitUninterruptibly(nextAnswered);
          }
        });
  }

  private static void awaitUninterruptibly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void install(Jooby application) {
    new CallerRoutes(
            Option::none,
            () -> Readiness.READY,
            openRequests,
            new RequestIdGenerator(),
            event -> {},
            System::nanoTime)
        .install(application);
    application.get("/held", this::answerAndHold);
  }

  private static void request(Socket socket, String path) throws IOException {
    socket
        .getOutputStream()
        .write(
            "GET %s HTTP/1.1\r\nHost: a\r\n\r\n"
                .formatted(path)
                .getBytes(StandardCharsets.US_ASCII));
  }

  private static String readUntil(InputStream input, String end) throws IOException {
    StringBuilder read = new StringBuilder();
    int next = input.read();
    while (next >= 0) {
      read.append((char) next);
      if (read.indexOf(end) >= 0) {
        return read.toString();
      }
      next = input.read();
    }
    return read.toString();
  }

  // Guards against a fast caller whose next request is closed without an answer.
  @Test
  void requestSentAfterTheWholeAnswerIsServed() throws IOException {
    NodeAddress address = freeAddress();
    try (HttpServer server =
            HttpServer.start(
                address,
                new HttpServer.Limits(65_536, MAX_OPEN, 600_000),
                1,
                TestConnections.setup(65_536),
                this::install);
        Socket socket = new Socket(address.host(), address.port())) {
      request(socket, "/held");
      readUntil(socket.getInputStream(), "\r\n\r\n" + ANSWER);
      request(socket, "/v1/models");
      String statusLine = readUntil(socket.getInputStream(), "\r\n").strip();
      nextAnswered.countDown();
      assertThat(statusLine, equalTo("HTTP/1.1 503 Service Unavailable"));
    }
  }

  private static NodeAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return new NodeAddress("127.0.0.1", socket.getLocalPort());
    }
  }
}
