package io.zinniawood.dist.users;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;

/** Row of a {@link FaultyEndpoint} in the store, with the layers that the endpoint holds. */
final class FaultyEndpointRow {
  private static final long WRITE_INTERVAL_MILLIS = 500;
  private static final int CALL_TIMEOUT_SECONDS = 2;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final int storePort;
  private final String id;
  private final String service;
  private final int port;
  private final long bornMillis = System.currentTimeMillis();
  private String layersJson = "";
  private int acceptedOrders;
  private int sequence;

  FaultyEndpointRow(int storePort, String id, String service, int port) {
    this.storePort = storePort;
    this.id = id;
    this.service = service;
    this.port = port;
  }

  String id() {
    return id;
  }

  int port() {
    return port;
  }

  long bornMillis() {
    return bornMillis;
  }

  /** Writes the row until the process ends, as a restored store lacks it. */
  void writeRepeatedly() {
    try {
      while (true) {
        write();
        Thread.sleep(WRITE_INTERVAL_MILLIS);
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the status for an order; 202 means that the layers of the order are held. */
  synchronized int order(int expectedOrders, int from, int to) {
    if (expectedOrders != acceptedOrders) {
      return 409;
    }
    acceptedOrders++;
    layersJson = "{\"from\":%d,\"to\":%d,\"version\":1}".formatted(from, to);
    return 202;
  }

  synchronized String reportJson() {
    return "{\"sequence\":%d,\"born\":%d%s}".formatted(acceptedOrders, bornMillis, layers());
  }

  private String layers() {
    if (!service.equals("model")) {
      return "";
    }
    return ",\"kind\":\"gpu\"" + (layersJson.isEmpty() ? "" : ",\"layers\":" + layersJson);
  }

  private synchronized String json() {
    return ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"home\",\"version\":\"v1\","
            + "\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":%d,"
            + "\"born\":%d%s}")
        .formatted(service, port, ++sequence, bornMillis, layers());
  }

  /** Writes the row; a failure is repaired by the next write. */
  void write() throws InterruptedException {
    String value = Base64.getEncoder().encodeToString(json().getBytes(StandardCharsets.UTF_8));
    String body =
        "{\"writes\":[{\"table\":\"servers\",\"key\":\"%s\",\"value\":\"%s\"}]}"
            .formatted(id, value);
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + storePort + "/rows-tx"))
            .timeout(Duration.ofSeconds(CALL_TIMEOUT_SECONDS))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    try {
      client.send(request, HttpResponse.BodyHandlers.discarding());
    } catch (IOException unavailable) {
      // The store is unavailable at times.
    }
  }
}
