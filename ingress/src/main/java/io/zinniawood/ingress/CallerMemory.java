package io.zinniawood.ingress;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Memory that all callers' connections hold with heads, queued messages and unsent answers. If it
 * is short, the connection that can release the most gives way. If there are too many connections,
 * the one that has been idle longest is closed. A connection that holds more than 1/256 of the
 * limit leaves a quarter of it to others, so that ordinary requests are still read. Bodies are
 * counted by an account of their own.
 */
public final class CallerMemory {
  private static final int LARGE_DIVISOR = 256;
  private static final int RESERVE_DIVISOR = 4;

  private final MemoryAccount account;
  private final int maxConnections;

  /** In the order in which they were opened or last answered a request. */
  private final Set<ConnectionMemory> connections = new LinkedHashSet<>();

  private long totalBytes;

  /**
   * Creates an empty budget that reports its use and its shortages to the account.
   *
   * @param maxConnections number of connections above which an idle one gives way
   */
  public CallerMemory(MemoryAccount account, int maxConnections) {
    this.account = account;
    this.maxConnections = maxConnections;
  }

  /** Adds a connection, which must be closed later. */
  public ConnectionMemory open(ConnectionMemory.Owner owner) {
    ConnectionMemory opened = new ConnectionMemory(this, owner);
    connections.add(opened);
    return opened;
  }

  /** Closes the connection that has been idle longest if there are too many. */
  void limitConnections() {
    if (connections.size() > maxConnections) {
      connections.stream()
          .filter(ConnectionMemory::idle)
          .findFirst()
          .ifPresent(ConnectionMemory::closeIdle);
    }
  }

  /** Moves a connection behind those that have been idle longer. */
  void requestEnded(ConnectionMemory connection) {
    if (connections.remove(connection)) {
      connections.add(connection);
    }
  }

  void closed(ConnectionMemory connection) {
    connections.remove(connection);
  }

  void changed(ConnectionMemory connection, long deltaBytes) {
    totalBytes += deltaBytes;
    if (deltaBytes > 0) {
      while (!account.hold(totalBytes + reserveBytes(connection)) && largestGivesWay()) {
        // Others give way until the rest fits.
      }
    }
    account.lower(totalBytes);
  }

  /**
   * Disconnects the caller that has left most of its complete answers untaken.
   *
   * @return whether there was one
   */
  public boolean disconnectSlowest() {
    Optional<ConnectionMemory> slowest =
        connections.stream().max(Comparator.comparingLong(ConnectionMemory::untakenBytes));
    if (slowest.isEmpty() || slowest.get().untakenBytes() == 0) {
      return false;
    }
    slowest.get().disconnect();
    return slowest.get().untakenBytes() == 0;
  }

  private long reserveBytes(ConnectionMemory connection) {
    long limitBytes = account.limitBytes();
    return connection.releasableBytes() > limitBytes / LARGE_DIVISOR
        ? limitBytes / RESERVE_DIVISOR
        : 0;
  }

  private boolean largestGivesWay() {
    Optional<ConnectionMemory> largest =
        connections.stream().max(Comparator.comparingLong(ConnectionMemory::releasableBytes));
    if (largest.isEmpty() || largest.get().releasableBytes() == 0) {
      return false;
    }
    largest.get().giveWay();
    return largest.get().releasableBytes() == 0;
  }
}
