package io.zinniawood.entry;

import com.codahale.metrics.MetricRegistry;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.config.settings.EntrySettings;
import io.zinniawood.core.entry.EntryEffect;
import io.zinniawood.core.entry.EntryEvent;
import io.zinniawood.core.entry.Readiness;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.runtime.Step;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;

/** Entry process on the loopback interface whose reducer returns the effects of a test script. */
final class EntryHarness implements AutoCloseable {
  private static final long WAIT_SECONDS = 20;

  final FakePlatform platform;
  final FakeWire wire = new FakeWire();
  final CurrentGeneration generation = new CurrentGeneration();
  final BlockingQueue<EntryEvent> events = new LinkedBlockingQueue<>();
  final EntrySettings settings;
  final EntryProcess<Integer> process;
  final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  EntryHarness(FakePlatform platform, Function<EntryEvent, Vector<EntryEffect>> script) {
    this(platform, script, System::nanoTime);
  }

  EntryHarness(
      FakePlatform platform,
      Function<EntryEvent, Vector<EntryEffect>> script,
      LongSupplier clockNanos) {
    this.platform = platform;
    this.settings =
        new EntrySettings(
            new VmId("entry-1"),
            new DataCentreId("helsinki-a"),
            freeAddress(),
            freeAddress(),
            freeAddress(),
            URI.create("http://127.0.0.1:1"),
            65_536,
            10,
            60_000,
            50,
            Option.none());
    this.process =
        new EntryProcess<>(
            new EntryDependencies<>(
                settings,
                wire,
                generation,
                platform,
                platform,
                platform,
                (state, nowNanos, event) -> {
                  events.add(event);
                  return new Step<>(state + 1, withReadiness(event, script.apply(event)));
                },
                0,
                EntryObserver.none(),
                new SampleReports(),
                new MetricRegistry(),
                clockNanos,
                System.getLogger("entry-test")));
    process.start();
  }

  private static final class SampleReports implements ReportSource {
    @Override
    public Vector<String> names() {
      return Vector.of("today");
    }

    @Override
    public CompletableFuture<Option<String>> render(String name, ReportFormat format) {
      return CompletableFuture.completedFuture(
          "today".equals(name) ? Option.some("report as " + format) : Option.none());
    }
  }

  private static Vector<EntryEffect> withReadiness(EntryEvent event, Vector<EntryEffect> effects) {
    return event instanceof EntryEvent.ConfigurationAccepted
        ? effects.prepend(new EntryEffect.SetReadiness(Readiness.READY))
        : effects;
  }

  private static NodeAddress freeAddress() {
    try (ServerSocket socket = new ServerSocket(0)) {
      return new NodeAddress("127.0.0.1", socket.getLocalPort());
    } catch (IOException failure) {
      throw new AssertionError(failure);
    }
  }

  EntryHarness awaitReady() {
    await(() -> process.readiness() == Readiness.READY);
    return this;
  }

  static void await(BooleanSupplier condition) {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > endNanos) {
        throw new AssertionError("condition not met within " + WAIT_SECONDS + " s");
      }
      Thread.onSpinWait();
    }
  }

  <E extends EntryEvent> E awaitEvent(Class<E> type) {
    try {
      while (true) {
        EntryEvent event = events.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        if (event == null) {
          throw new AssertionError(
              "no event of type %s within %d s".formatted(type.getSimpleName(), WAIT_SECONDS));
        }
        if (type.isInstance(event)) {
          return type.cast(event);
        }
      }
    } catch (InterruptedException interrupted) {
      throw new AssertionError(interrupted);
    }
  }

  HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://" + settings.callers() + path))
        .header("Authorization", "Bearer " + FakePlatform.KEY);
  }

  HttpResponse<String> send(HttpRequest.Builder request) {
    try {
      return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    } catch (IOException | InterruptedException failure) {
      throw new AssertionError(failure);
    }
  }

  HttpResponse<String> admin(String path) {
    return send(HttpRequest.newBuilder(URI.create("http://" + settings.admin() + path)));
  }

  HttpResponse<String> chat(String body) {
    return send(request("/v1/chat/completions").POST(HttpRequest.BodyPublishers.ofString(body)));
  }

  @Override
  public void close() {
    process.close();
  }
}
