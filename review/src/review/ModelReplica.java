package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for a model replica: starts empty, takes orders to hold layers, checks in every 1.2 s,
 * gives reports and answers each request with a stream of {@value #EVENTS} events in 2 s. Up to
 * {@value #SLOTS} requests at once; others get 503 with {@code Not-Executed}. Arguments: id,
 * service, port of the store.
 */
final class ModelReplica {
  private static final long HEARTBEAT_MILLIS = 1_200;
  private static final int EVENTS = 20;
  private static final long GAP_MILLIS = 100;
  private static final int SLOTS = 100;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final String id;
  private final String service;
  private final int storePort;
  private final long born = System.currentTimeMillis();
  private final ServerSocket listener =
      new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
  private final AtomicInteger running = new AtomicInteger();
  private int beats;
  private int orders;
  private String layers = "";

  private ModelReplica(String[] arguments) throws IOException {
    id = arguments[0];
    service = arguments[1];
    storePort = Integer.parseInt(arguments[2]);
  }

  public static void main(String[] arguments) throws Exception {
    ModelReplica replica = new ModelReplica(arguments);
    Thread accepting = new Thread(replica::accept);
    accepting.setDaemon(true);
    accepting.start();
    Thread beats = new Thread(replica::checkInForGood);
    beats.setDaemon(true);
    beats.start();
    new BufferedReader(new InputStreamReader(System.in)).readLine();
  }

  private void checkInForGood() {
    try {
      while (true) {
        checkIn();
        Thread.sleep(HEARTBEAT_MILLIS);
      }
    } catch (IOException | InterruptedException ended) {
      System.out.println("0 " + id + " stops checking in: " + ended);
    }
  }

  private synchronized void checkIn() throws IOException {
    String body =
        ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"zone-1\",\"version\":\"v1\","
                + "\"slots\":%d,\"state\":\"ready\",\"cold_remaining_ms\":0,\"kind\":\"gpu\","
                + "\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                + "\"sequence\":%d,\"born\":%d%s}")
            .formatted(service, listener.getLocalPort(), SLOTS, ++beats, born, layers);
    HttpURLConnection connection =
        (HttpURLConnection)
            URI.create("http://127.0.0.1:" + storePort + "/internal-put?table=servers&key=" + id)
                .toURL()
                .openConnection();
    connection.setDoOutput(true);
    connection.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
    connection.getInputStream().readAllBytes();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        Thread thread = new Thread(null, () -> serve(socket), "channel", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
      }
    } catch (IOException ended) {
      System.out.println("0 " + id + " stops accepting: " + ended);
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream input = new BufferedInputStream(socket.getInputStream());
      OutputStream output = socket.getOutputStream();
      String requestLine;
      while (!(requestLine = Http.readLine(input)).isEmpty()) {
        Map<String, String> headers = new LinkedHashMap<>();
        String line;
        while (!(line = Http.readLine(input)).isEmpty()) {
          int colon = line.indexOf(':');
          headers.put(
              line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        byte[] body =
            input.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        String path = requestLine.split(" ")[1];
        if (!id.equals(headers.getOrDefault("expect-replica", id))) {
          answer(output, "421 Misdirected Request", "", "{}");
        } else if (path.equals("/report")) {
          answer(output, "200 OK", "", report());
        } else if (path.equals("/order")) {
          answer(output, order(MAPPER.readTree(body)), "", "{}");
        } else {
          run(headers, output);
        }
      }
    } catch (IOException | InterruptedException ended) {
      // The caller closed the channel.
    }
  }

  private static void answer(OutputStream output, String status, String headers, String body)
      throws IOException {
    output.write(
        ("HTTP/1.1 " + status + "\r\n" + headers + "Content-Type: application/json\r\n"
                + "Content-Length: " + body.length() + "\r\n\r\n" + body)
            .getBytes(StandardCharsets.US_ASCII));
  }

  private synchronized String report() {
    return ("{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":%d,\"waiting\":0,"
            + "\"running\":%d,\"kv_used\":0,\"kv_total\":1000000,\"handles\":0,\"pace\":1,\"born\":%d}")
        .formatted(orders, running.get(), born);
  }

  private synchronized String order(JsonNode order) throws IOException {
    if (!order.path("op").asText().equals("place")) {
      return "404 Not Found";
    }
    if (order.path("expected_rev").asInt(orders) != orders) {
      return "409 Conflict";
    }
    orders++;
    layers =
        ",\"layers\":{\"from\":%d,\"to\":%d,\"version\":1}"
            .formatted(order.path("from").asInt(), order.path("to").asInt());
    checkIn();
    return "202 Accepted";
  }

  private void run(Map<String, String> headers, OutputStream output)
      throws IOException, InterruptedException {
    String request = headers.getOrDefault("attempt-id", "-");
    if (running.incrementAndGet() > SLOTS) {
      running.decrementAndGet();
      answer(
          output,
          "503 Service Unavailable",
          "Attempt-Id: " + request + "\r\nNot-Executed: 1\r\n",
          "{}");
      return;
    }
    try {
      output.write(
          ("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Signature: %s.%s\r\nWeight-Versions: 1\r\n"
                  .formatted(request, id, request)
                  + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
              .getBytes(StandardCharsets.US_ASCII));
      int first = Integer.parseInt(headers.getOrDefault("last-event-id", "0")) + 1;
      for (int event = first; event <= EVENTS; event++) {
        Thread.sleep(GAP_MILLIS);
        String text = "id: " + event + "\ndata: piece " + event + " of " + request + "\n\n";
        output.write(
            (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                .getBytes(StandardCharsets.US_ASCII));
      }
      output.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    } finally {
      running.decrementAndGet();
    }
  }
}
