package io.zinniawood.store.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.http.HttpResult;
import io.zinniawood.http.Responses;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.StoredObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import okhttp3.Headers;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Plays a store that is killed within responses without a length. */
final class TruncatedResponseTest {
  private static final int ACCEPT_TIMEOUT_MILLIS = 5_000;
  private static final String WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\nETag: \"1\"\r\n\r\nretries = 1";
  private static final String VMS =
      "{\"version\":3,\"vms\":[{\"vm\":\"v\",\"role\":\"ENTRY\",\"state\":\"LIVE\","
          + "\"dataCentre\":\"d\",\"pool\":\"p\",\"host\":\"h\",\"port\":1}],\"n\":{}}";
  private static final String LISTING =
      "{\"complete\":true,\"objects\":[{\"name\":\"config/a\",\"version\":\"1\"}]}";

  private final OkHttpClient client = new OkHttpClient();
  private ServerSocket server;

  @BeforeEach
  void listen() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    server.setSoTimeout(ACCEPT_TIMEOUT_MILLIS);
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }

  private CompletableFuture<Either<PlatformError, Option<StoredObject>>> readObject() {
    return new HttpPlatform(URI.create("http://127.0.0.1:" + server.getLocalPort()), client)
        .objectStore()
        .read("config/a.toml");
  }

  /** Reads a request without a body, writes the response, and ends the connection in order. */
  private void respond(String response, ServerSocket closedFirst) throws IOException {
    try (Socket connection = server.accept()) {
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
      while (!reader.readLine().isEmpty()) {
        // Leaves no bytes unread, so that the close sends no reset.
      }
      connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
      closedFirst.close();
    }
  }

  private static <T> void assertOnlyWholeDecodes(
      String text, Responses.Decoder<PlatformError, T> decoder) {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    for (int length = 0; length <= body.length; length++) {
      HttpResult.Response response =
          new HttpResult.Response(200, Headers.of(), Arrays.copyOf(body, length));
      assertThat(
          length + " of " + text,
          PlatformResponses.decode(response, decoder).isRight(),
          is(length == body.length));
    }
  }

  // A configuration file that lacks its last lines may parse, and would be accepted.
  @Test
  void objectWithoutLengthOfKilledStoreIsLost() throws Exception {
    var result = readObject();
    respond(WITHOUT_LENGTH, server);
    assertThat(
        result.get(ACCEPT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).getLeft(),
        instanceOf(PlatformError.ResponseLost.class));
  }

  // A store that writes no lengths must stay usable.
  @Test
  void objectWithoutLengthOfLiveStoreIsWhole() throws Exception {
    var result = readObject();
    respond(WITHOUT_LENGTH, new ServerSocket());
    respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", new ServerSocket());
    assertThat(
        result.get(ACCEPT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).get().get().content().text(),
        is("retries = 1"));
  }

  // A truncated list would name fewer VMs or objects than there are.
  @Test
  void truncatedListIsNoList() {
    assertOnlyWholeDecodes(VMS, response -> HttpVmList.decode(response, ignored -> {}));
    assertOnlyWholeDecodes(LISTING, response -> HttpObjectStore.decodeListing("config/", response));
    assertOnlyWholeDecodes("{\"granted\":true}", HttpWeightStore::decode);
  }
}
