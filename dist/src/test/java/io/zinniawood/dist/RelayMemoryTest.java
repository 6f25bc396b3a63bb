package io.zinniawood.dist;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.zinniawood.cli.local.Ports;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.dist.users.EndpointStandIn;
import io.zinniawood.dist.users.RoutesDocument;
import io.zinniawood.dist.users.StoreStandIn;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests a relay process with the direct memory of the deployment beside callers that use it up. */
final class RelayMemoryTest {
  private static final String JAVA_OPTIONS = "-Xmx160m -XX:MaxDirectMemorySize=64m";
  private static final int CALLERS = 150;
  private static final int BODY_BYTES = 1_000_000;
  private static final int SOUND_REQUESTS = 40;
  private static final int MAX_REQUESTS = 5_000;
  private static final Duration SOUND_LIMIT = Duration.ofSeconds(10);

  @TempDir private Path folder;

  private final HttpClient httpClient =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final NodeAddress callersAddress = Ports.free();
  private final NodeAddress adminAddress = Ports.free();
  private final List<Socket> callers = new ArrayList<>();
  private StoreStandIn store;
  private EndpointStandIn plainEndpoint;
  private RoleProcess relay;

  @BeforeEach
  void startRelay() throws Exception {
    store = new StoreStandIn();
    store.put(
        "op",
        "config",
        RoutesDocument.json(1, "key")
            .replace("\"max_body_bytes\":100000", "\"max_body_bytes\":1048576"));
    plainEndpoint = new EndpointStandIn(store, "plain", "plain", "");
    Path settings =
        Files.writeString(
            folder.resolve("relay.toml"),
            """
            vm = "relay-1"
            data_centre = "home"
            callers = "%s"
            admin = "%s"
            store = "%s"
            first_start = "true"
            """
                .formatted(callersAddress, adminAddress, store.address()));
    relay = RoleProcess.start("relay", "relay-memory", settings, JAVA_OPTIONS);
    while (!ready()) {
      Thread.sleep(20);
    }
  }

  @AfterEach
  void stop() throws IOException {
    for (Socket caller : callers) {
      caller.close();
    }
    relay.close();
    plainEndpoint.close();
    store.close();
  }

  private boolean ready() throws InterruptedException {
    try {
      return get("/readiness").statusCode() == 200;
    } catch (IOException notListening) {
      return false;
    }
  }

  private HttpResponse<String> get(String path) throws IOException, InterruptedException {
    return httpClient.send(
        HttpRequest.newBuilder(URI.create("http://" + adminAddress + path)).build(),
        HttpResponse.BodyHandlers.ofString());
  }

  private int soundRequest(int number) throws IOException, InterruptedException {
    return httpClient
        .send(
            HttpRequest.newBuilder(URI.create("http://" + callersAddress + "/read/x"))
                .timeout(SOUND_LIMIT)
                .header("Attempt-Id", "sound-" + number)
                .header("Authorization", "Token key")
                .header("Deadline-Ms", "10000")
                .POST(HttpRequest.BodyPublishers.ofString("{\"text\":1}"))
                .build(),
            HttpResponse.BodyHandlers.ofString())
        .statusCode();
  }

  // Guards against an event loop that waits for memory: unfinished bodies stopped it for everybody.
  @Test
  void soundRequestsAreAnsweredBesideBodiesThatDoNotEnd() throws Exception {
    String head =
        "POST /read/x HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: "
            + (BODY_BYTES + 1)
            + "\r\n\r\n";
    for (int count = 0; count < CALLERS; count++) {
      Socket caller = new Socket(callersAddress.host(), callersAddress.port());
      callers.add(caller);
      Thread sender =
          new Thread(
              () -> {
                try {
                  caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
                  caller.getOutputStream().write(new byte[BODY_BYTES]);
                } catch (IOException refused) {
                  // The relay closed the connection.
                }
              });
      sender.setDaemon(true);
      sender.start();
    }
    boolean memoryShort = false;
    for (int number = 0; number < SOUND_REQUESTS || !memoryShort; number++) {
      assertThat(soundRequest(number), is(200));
      assertThat(number, lessThan(MAX_REQUESTS));
      memoryShort = get("/metrics").body().contains("reason=\"caller-requests\"");
    }
    assertThat(relay.isAlive(), is(true));
  }
}
