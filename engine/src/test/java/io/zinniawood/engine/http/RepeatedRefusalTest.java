package io.zinniawood.engine.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.Priority;
import io.zinniawood.engine.EngineError;
import io.zinniawood.engine.ModelEngine.StepRequest;
import io.zinniawood.engine.StepOutput;
import io.zinniawood.standin.http.RepeatingServer;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Plays an engine that refuses a run twice and executes the next ones. */
final class RepeatedRefusalTest {
  private final OkHttpClient client = new OkHttpClient();
  private final AtomicInteger runs = new AtomicInteger();

  @AfterEach
  void stop() {
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }

  /** Refuses the first run and then responds with a status that the adapter takes for unknown. */
  private String answer() {
    String status = runs.getAndIncrement() == 0 ? "503 Unavailable" : "500 Executed";
    return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n";
  }

  // The repeated refusal of one run became the refusal of the next one, which was executed.
  @Test
  void repeatedRefusalIsNotTheRefusalOfTheNextRun() throws Exception {
    try (RepeatingServer server = RepeatingServer.launch(request -> answer())) {
      HttpModelEngine engine = new HttpModelEngine(server.uri(), client);
      assertThat(run(engine).getLeft(), instanceOf(EngineError.Refused.class));
      assertThat(run(engine).getLeft(), instanceOf(EngineError.ResponseLost.class));
      assertThat(runs.get(), is(2));
    }
  }

  private static Either<EngineError, Vector<StepOutput>> run(HttpModelEngine engine)
      throws Exception {
    StepRequest step = new StepRequest(new SessionId("s"), 0, Payload.empty(), 5, Priority.NORMAL);
    return engine.runSteps(Vector.of(step)).get(5, TimeUnit.SECONDS);
  }
}
