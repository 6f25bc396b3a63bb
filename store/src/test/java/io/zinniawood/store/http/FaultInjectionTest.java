package io.zinniawood.store.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import io.zinniawood.standin.platform.PlatformFaults;
import io.zinniawood.standin.platform.PlatformService;
import io.zinniawood.standin.platform.PlatformSettings;
import io.zinniawood.standin.platform.PlatformStandIn;
import io.zinniawood.store.PlatformError;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.Test;

/** Injects each kind of platform fault into each operation. */
class FaultInjectionTest {
  private static final byte[] VALUE = {1, 2, 3};

  private record Operation(
      String name,
      PlatformService service,
      boolean write,
      Function<HttpPlatform, CompletableFuture<? extends Either<PlatformError, ?>>> call) {}

  private static final List<Operation> OPERATIONS =
      List.of(
          new Operation("row read", PlatformService.TABLE, false, p -> p.table().read("k")),
          new Operation(
              "row write", PlatformService.TABLE, true, p -> p.table().write("k", 0, VALUE)),
          new Operation("list", PlatformService.OBJECTS, false, p -> p.objectStore().list("c/")),
          new Operation("read", PlatformService.OBJECTS, false, p -> p.objectStore().read("c/1")),
          new Operation(
              "write", PlatformService.OBJECTS, true, p -> p.objectStore().write("c/1", VALUE)),
          new Operation(
              "delete", PlatformService.OBJECTS, true, p -> p.objectStore().delete("c/1")),
          new Operation("VM list", PlatformService.VMS, false, p -> p.vmList().read()),
          new Operation(
              "transfer",
              PlatformService.WEIGHTS,
              true,
              p -> p.weightStore().requestTransfer("m", "1")));

  private enum ResultClass {
    VALUE,
    UNAVAILABLE,
    RESPONSE_LOST
  }

  // A misclassified failure makes callers repeat a write or release a claim by mistake. Each call
  // must also send exactly one request.
  @Test
  void everyFaultIsClassifiedForEveryOperation() throws Exception {
    check("none", PlatformFaults.none(), operation -> ResultClass.VALUE);
    check("down", PlatformFaults.outage(), operation -> ResultClass.UNAVAILABLE);
    check("silent", PlatformFaults.silence(), operation -> ResultClass.RESPONSE_LOST);
    check("slow", PlatformFaults.slow(50), operation -> ResultClass.VALUE);
    check("too slow", PlatformFaults.slow(5_000), operation -> ResultClass.RESPONSE_LOST);
    check(
        "lost responses",
        PlatformFaults.lostResponses(-1),
        operation -> operation.write() ? ResultClass.RESPONSE_LOST : ResultClass.VALUE);
  }

  private static void check(
      String name, PlatformFaults faults, Function<Operation, ResultClass> expectation)
      throws Exception {
    OkHttpClient client = new OkHttpClient();
    List<PlatformStandIn> standIns = new ArrayList<>();
    List<CompletableFuture<? extends Either<PlatformError, ?>>> results = new ArrayList<>();
    for (Operation operation : OPERATIONS) {
      PlatformStandIn standIn = PlatformStandIn.launch(PlatformSettings.unlimited());
      standIn.setFaults(faults);
      standIns.add(standIn);
      HttpPlatform platform =
          new HttpPlatform(
              URI.create("http://127.0.0.1:" + standIn.port()),
              client,
              new HttpPlatformSettings(500, 1_500, 1_000, 4, CircuitBreakerSettings.defaults()));
      results.add(operation.call().apply(platform));
    }
    for (int i = 0; i < OPERATIONS.size(); i++) {
      Operation operation = OPERATIONS.get(i);
      String description = operation.name() + " with fault " + name;
      assertThat(
          description,
          classify(results.get(i).get(20, TimeUnit.SECONDS)),
          is(expectation.apply(operation)));
      assertThat(description, standIns.get(i).received(operation.service()), is(1L));
      standIns.get(i).close();
    }
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }

  private static ResultClass classify(Either<PlatformError, ?> result) {
    if (result.isRight()) {
      return ResultClass.VALUE;
    }
    return result.getLeft() instanceof PlatformError.Unavailable
        ? ResultClass.UNAVAILABLE
        : ResultClass.RESPONSE_LOST;
  }
}
