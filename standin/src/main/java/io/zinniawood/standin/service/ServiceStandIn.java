package io.zinniawood.standin.service;

import com.fasterxml.jackson.databind.JsonNode;
import io.zinniawood.standin.http.Exchange;
import io.zinniawood.standin.http.Json;
import io.zinniawood.standin.http.StandInServer;

/**
 * Stand-in for a service that books coin credits and refill orders. Bookings are not idempotent:
 * each call appends an entry to the ledger. See {@code docs/standins.md}.
 */
public final class ServiceStandIn implements AutoCloseable {
  private final StandInServer server = new StandInServer("service-standin");
  private final Ledger ledger = new Ledger();
  private final ServiceSettings settings;
  private ServiceFaults faults = ServiceFaults.none();

  /** Creates the stand-in; it listens after {@link #start(int)}. */
  public ServiceStandIn(ServiceSettings settings) {
    this.settings = settings;
    server.route("POST", "/credits", exchange -> book(exchange, "credit"));
    server.route("POST", "/orders", exchange -> book(exchange, "order"));
    server.route("GET", "/bins/{id}", this::getBin);
    server.route("GET", "/ledger", exchange -> exchange.respondJson(200, ledger.report()));
    server.route("GET", "/health", this::health);
    server.route(
        "POST",
        "/control/faults",
        exchange -> {
          setFaults(Json.read(exchange.body(), ServiceFaults.class));
          exchange.respondJson(200, faults());
        });
    server.route("GET", "/control/faults", exchange -> exchange.respondJson(200, faults()));
  }

  /** Starts a stand-in on the port of its settings. */
  public static ServiceStandIn launch(ServiceSettings settings) {
    ServiceStandIn standIn = new ServiceStandIn(settings);
    standIn.start(settings.port());
    return standIn;
  }

  /**
   * Starts to listen on loopback.
   *
   * @param port TCP port, 0 for a free one
   * @return port on which the stand-in listens
   */
  public int start(int port) {
    return server.start(port);
  }

  /** Returns the port on which the stand-in listens. */
  public int port() {
    return server.port();
  }

  /** Replaces the fault settings. */
  public synchronized void setFaults(ServiceFaults newFaults) {
    faults = newFaults;
  }

  /** Returns the number of bookings with a reference; more than 1 means a repeated call. */
  public int bookings(String reference) {
    return ledger.bookings(reference);
  }

  /** Returns the total number of bookings. */
  public int bookings() {
    return ledger.report().entries().size();
  }

  @Override
  public void close() {
    server.close();
  }

  private synchronized ServiceFaults faults() {
    return faults;
  }

  private synchronized boolean consumeLostResponse() {
    if (faults.cutAfterBooking() > 0) {
      faults =
          new ServiceFaults(
              faults.down(),
              faults.delayMillis(),
              faults.cutAfterBooking() - 1,
              faults.silent(),
              faults.requestLimit());
      return true;
    }
    return faults.cutAfterBooking() < 0;
  }

  /** Applies the faults that precede a call; returns whether the call proceeds. */
  private boolean applyFaults(Exchange exchange) {
    ServiceFaults current = faults();
    if (current.requestLimit() > 0) {
      exchange.responseHeader("Request-Limit", Double.toString(current.requestLimit()));
    }
    if (current.down()) {
      exchange.respondProblem(503, "the service is down");
    }
    return !current.down() && !current.silent();
  }

  private void book(Exchange exchange, String kind) {
    if (!applyFaults(exchange)) {
      return;
    }
    JsonNode body = Json.read(exchange.body(), JsonNode.class);
    Ledger.Entry entry = ledger.book(kind, body.path("reference").asText(""));
    if (consumeLostResponse()) {
      exchange.closeConnection();
      return;
    }
    exchange.afterMillis(
        settings.callMillis() + faults().delayMillis(), () -> exchange.respondJson(201, entry));
  }

  private record BinStatus(String bin, String level) {}

  private void getBin(Exchange exchange) {
    if (!applyFaults(exchange)) {
      return;
    }
    String id = exchange.pathVariable("id");
    String level = (id.hashCode() & 1) == 0 ? "full" : "empty";
    exchange.afterMillis(
        settings.callMillis() + faults().delayMillis(),
        () -> exchange.respondJson(200, new BinStatus(id, level)));
  }

  private record Health(String status) {}

  private void health(Exchange exchange) {
    if (applyFaults(exchange)) {
      exchange.afterMillis(
          faults().delayMillis(), () -> exchange.respondJson(200, new Health("ok")));
    }
  }
}
