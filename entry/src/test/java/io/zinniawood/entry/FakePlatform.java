package io.zinniawood.entry;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.configuration.ClientAccount;
import io.zinniawood.core.configuration.ClusterConfiguration;
import io.zinniawood.core.configuration.ModelDefinition;
import io.zinniawood.core.configuration.RepairPolicy;
import io.zinniawood.core.configuration.RetryPolicy;
import io.zinniawood.core.configuration.RoutingPolicy;
import io.zinniawood.core.configuration.ServiceDefinition;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.message.Message.ConfigurationSnapshot;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.Priority;
import io.zinniawood.core.model.VmEntry;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.Table;
import io.zinniawood.store.TableRow;
import io.zinniawood.store.TableWriteResult;
import io.zinniawood.store.VmList;
import io.zinniawood.store.VmListing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** In-memory platform with one API key, one model and one service. */
final class FakePlatform implements Table, VmList, ConfigurationFeed {
  static final String KEY = "kiosk-key";

  /** Outcome of the next write. */
  enum NextWrite {
    NORMAL,
    LOSE_RESPONSE_AFTER_WRITE,
    LOSE_REQUEST,
    UNAVAILABLE
  }

  final Map<String, TableRow> rows = new ConcurrentHashMap<>();
  final AtomicInteger vmListReads = new AtomicInteger();
  final AtomicInteger followCalls = new AtomicInteger();
  volatile boolean failsReads;
  volatile boolean failsVmListReads;
  volatile NextWrite nextWrite = NextWrite.NORMAL;
  volatile Vector<VmEntry> vms = Vector.empty();
  volatile Option<ConfigurationSnapshot> newestSnapshot = Option.some(snapshot(1));

  volatile long absentVersion;

  @Override
  public long absentVersion() {
    return absentVersion;
  }

  static ConfigurationSnapshot snapshot(long generation) {
    return new ConfigurationSnapshot(new Generation(generation), Payload.ofText("snapshot"));
  }

  @Override
  public CompletableFuture<Either<PlatformError, Option<TableRow>>> read(String key) {
    if (failsReads) {
      throw new IllegalStateException("read failed");
    }
    return CompletableFuture.completedFuture(Either.right(Option.of(rows.get(key))));
  }

  @Override
  public synchronized CompletableFuture<Either<PlatformError, TableWriteResult>> write(
      String key, long expectedVersion, byte[] value) {
    NextWrite mode = nextWrite;
    nextWrite = NextWrite.NORMAL;
    if (mode == NextWrite.UNAVAILABLE) {
      return failed(new PlatformError.Unavailable("outage"));
    }
    if (mode == NextWrite.LOSE_REQUEST) {
      return failed(new PlatformError.ResponseLost("lost"));
    }
    Option<TableRow> present = Option.of(rows.get(key));
    long version = present.map(TableRow::version).getOrElse(absentVersion);
    TableWriteResult result;
    if (version == expectedVersion) {
      rows.put(key, new TableRow(key, version + 1, Payload.wrap(value)));
      result = new TableWriteResult.Written(version + 1);
    } else {
      result = new TableWriteResult.Conflict(present);
    }
    return mode == NextWrite.LOSE_RESPONSE_AFTER_WRITE
        ? failed(new PlatformError.ResponseLost("lost"))
        : CompletableFuture.completedFuture(Either.right(result));
  }

  private static <T> CompletableFuture<Either<PlatformError, T>> failed(PlatformError error) {
    return CompletableFuture.completedFuture(Either.left(error));
  }

  @Override
  public CompletableFuture<Either<PlatformError, VmListing>> read() {
    vmListReads.incrementAndGet();
    if (failsVmListReads) {
      throw new OutOfMemoryError("no direct memory");
    }
    return CompletableFuture.completedFuture(Either.right(new VmListing(1, vms)));
  }

  @Override
  public CompletableFuture<Either<String, Option<ConfigurationSnapshot>>> poll(Generation known) {
    Option<ConfigurationSnapshot> newer =
        newestSnapshot.filter(snapshot -> snapshot.generation().compareTo(known) > 0);
    return CompletableFuture.completedFuture(Either.right(newer));
  }

  @Override
  public CompletableFuture<Either<String, Option<ConfigurationSnapshot>>> follow(Generation known) {
    followCalls.incrementAndGet();
    return newerSnapshot(known);
  }

  @Override
  public Either<String, AcceptedConfiguration> parse(ConfigurationSnapshot snapshot) {
    return "snapshot".equals(snapshot.snapshot().text())
        ? Either.right(new AcceptedConfiguration(snapshot.generation(), "digest", cluster()))
        : Either.left("not a snapshot");
  }

  private static ClusterConfiguration cluster() {
    ClientAccountId account = new ClientAccountId("kiosks");
    ModelId model = new ModelId("assistant");
    ServiceName service = new ServiceName("credit");
    return new ClusterConfiguration(
        HashMap.of(
            account,
            new ClientAccount(
                account, HashSet.of(sha256Hex(KEY)), 100, 100, 100, 1, Priority.NORMAL)),
        HashMap.of(model, new ModelDefinition(model, 8, 1, 64, 60_000, "v1")),
        HashMap.of(
            service, new ServiceDefinition(service, HashSet.of("GET", "HEAD"), 60_000, 60_000)),
        Vector.empty(),
        new RoutingPolicy(8, 1.25, 1_000, 0.5, 1_000),
        new RetryPolicy(3, 0.1, 10, 10, 100, 1_000),
        new RepairPolicy(1, 1_000, 6_000));
  }

  private static String sha256Hex(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (java.security.NoSuchAlgorithmException missing) {
      throw new AssertionError(missing);
    }
  }
}
