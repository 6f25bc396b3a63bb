package io.zinniawood.store.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.core.model.VmState;
import io.zinniawood.standin.platform.PlatformFaults;
import io.zinniawood.standin.platform.PlatformFaults.ListingFault;
import io.zinniawood.standin.platform.PlatformService;
import io.zinniawood.standin.platform.PlatformSettings;
import io.zinniawood.standin.platform.PlatformStandIn;
import io.zinniawood.standin.platform.VmRecord;
import io.zinniawood.store.ObjectListing;
import io.zinniawood.store.ObjectVersion;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.StoredObject;
import io.zinniawood.store.TableRow;
import io.zinniawood.store.TableWriteResult;
import io.zinniawood.store.VmListing;
import io.zinniawood.store.WeightStore.TransferDecision;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpPlatformTest {
  private static final VmRecord VM =
      new VmRecord("vm-1", "ENDPOINT", "LIVE", "assen", "bins", "127.0.0.1", 7000);
  private final OkHttpClient client = new OkHttpClient();
  private PlatformStandIn standIn;
  private HttpPlatform platform;

  @BeforeEach
  void start() {
    standIn = PlatformStandIn.launch(new PlatformSettings(0, 0, 0.1, 1, 0, 0, List.of(VM)));
    platform = platform(standIn.port());
  }

  @AfterEach
  void stop() {
    standIn.close();
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }

  private HttpPlatform platform(int port) {
    HttpPlatformSettings settings =
        new HttpPlatformSettings(500, 600, 1_000, 16, new CircuitBreakerSettings(1_000, 1, 1));
    return new HttpPlatform(URI.create("http://127.0.0.1:" + port), client, settings);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static <T> Either<PlatformError, T> await(
      CompletableFuture<Either<PlatformError, T>> future) throws Exception {
    return future.get(20, TimeUnit.SECONDS);
  }

  private static <T> T awaitValue(CompletableFuture<Either<PlatformError, T>> future)
      throws Exception {
    return await(future).getOrElseThrow(error -> new AssertionError(error.toString()));
  }

  private static <T> PlatformError awaitError(CompletableFuture<Either<PlatformError, T>> future)
      throws Exception {
    return await(future).swap().getOrElseThrow(() -> new AssertionError("no error"));
  }

  // A claim must not get two owners: creating a row must fail if the row exists.
  @Test
  void conflictingWritesReturnTheCurrentRow() throws Exception {
    String key = "claim/strooibak/orders/a b&c=ä";
    assertThat(awaitValue(platform.table().read(key)), equalTo(Option.none()));
    assertThat(
        awaitValue(platform.table().write(key, 0, bytes("one"))),
        equalTo(new TableWriteResult.Written(1)));
    TableRow present = new TableRow(key, 1, Payload.ofText("one"));
    assertThat(
        awaitValue(platform.table().write(key, 0, bytes("two"))),
        equalTo(new TableWriteResult.Conflict(Option.some(present))));
    assertThat(
        awaitValue(platform.table().write(key, 1, bytes("three"))),
        equalTo(new TableWriteResult.Written(2)));
    assertThat(
        awaitValue(platform.table().write("other", 5, bytes("x"))),
        equalTo(new TableWriteResult.Conflict(Option.none())));
    assertThat(
        awaitValue(platform.table().read(key)),
        equalTo(Option.some(new TableRow(key, 2, Payload.ofText("three")))));
  }

  // Readers detect changed objects by their version, so each write must change it.
  @Test
  void eachWriteChangesTheObjectVersion() throws Exception {
    String first = awaitValue(platform.objectStore().write("config/10.toml", bytes("a")));
    String second = awaitValue(platform.objectStore().write("config/10.toml", bytes("b")));
    awaitValue(platform.objectStore().write("other/1", bytes("c")));
    assertThat(second.equals(first), is(false));
    assertThat(
        awaitValue(platform.objectStore().read("config/10.toml")),
        equalTo(Option.some(new StoredObject("config/10.toml", second, Payload.ofText("b")))));
    ObjectListing listing = awaitValue(platform.objectStore().list("config/"));
    assertThat(listing.completeness(), is(ObjectListing.Completeness.COMPLETE));
    assertThat(listing.objects(), contains(new ObjectVersion("config/10.toml", second)));
    assertThat(awaitValue(platform.objectStore().delete("config/10.toml")), is(true));
    assertThat(awaitValue(platform.objectStore().delete("config/10.toml")), is(false));
    assertThat(awaitValue(platform.objectStore().read("config/10.toml")), equalTo(Option.none()));
  }

  // A listing with missing objects must not be treated as complete.
  @Test
  void incompleteListingsAreMarkedPartial() throws Exception {
    for (String name : List.of("config/1", "config/2", "config/3")) {
      standIn.putObject(name, bytes(name));
    }
    standIn.setFaults(PlatformFaults.listings(ListingFault.MARKED));
    ObjectListing listing = awaitValue(platform.objectStore().list("config/"));
    assertThat(listing.completeness(), is(ObjectListing.Completeness.PARTIAL));
    assertThat(listing.objects().size(), is(2));
  }

  // VMs and their states must be decoded correctly, and each change must raise the list version.
  @Test
  void vmListIsDecodedAndItsVersionIncreases() throws Exception {
    VmListing before = awaitValue(platform.vmList().read());
    assertThat(before.vms().head().role(), is(VmRole.ENDPOINT));
    standIn.putVm(new VmRecord("vm-1", "ENDPOINT", "LEAVING", "assen", "bins", "127.0.0.1", 7000));
    VmListing after = awaitValue(platform.vmList().read());
    assertThat(after.version(), greaterThan(before.version()));
    assertThat(after.vms().head().state(), is(VmState.LEAVING));
  }

  // Transfers for repairs must respect the rate limit of the weight store.
  @Test
  void transfersOverTheRateLimitAreDelayed() throws Exception {
    assertThat(
        awaitValue(platform.weightStore().requestTransfer("m", "1")),
        equalTo(new TransferDecision.Granted()));
    assertThat(
        awaitValue(platform.weightStore().requestTransfer("m", "1")),
        instanceOf(TransferDecision.Delayed.class));
  }

  // A write that certainly did not happen must not be reported as "unknown".
  @Test
  void outagesAndRefusedConnectionsAreUnavailable() throws Exception {
    standIn.setFaults(PlatformFaults.outage());
    PlatformError outage = awaitError(platform.table().write("k", 0, bytes("v")));
    assertThat(outage, instanceOf(PlatformError.Unavailable.class));
    standIn.setFaults(PlatformFaults.none());
    assertThat(awaitValue(platform.table().read("k")), equalTo(Option.none()));
    int port = standIn.port();
    standIn.close();
    client.connectionPool().evictAll();
    assertThat(
        awaitError(platform(port).table().write("k", 0, bytes("v"))),
        instanceOf(PlatformError.Unavailable.class));
  }

  // A write that took effect must not be reported as "not-run" and must not be sent again.
  @Test
  void writesWithLostResponsesAreReportedAndNotRepeated() throws Exception {
    standIn.setFaults(PlatformService.TABLE, PlatformFaults.lostResponses(1));
    assertThat(
        awaitError(platform.table().write("k", 0, bytes("v"))),
        instanceOf(PlatformError.ResponseLost.class));
    assertThat(standIn.writes(PlatformService.TABLE), is(1L));
    assertThat(awaitValue(platform.table().read("k")).isDefined(), is(true));
  }

  // A call to a store that does not respond must time out and must not be reported as refused.
  @Test
  void unresponsiveStoreIsResponseLost() throws Exception {
    standIn.setFaults(PlatformFaults.silence());
    PlatformError timeout = awaitError(platform.objectStore().write("o", bytes("v")));
    assertThat(timeout, instanceOf(PlatformError.ResponseLost.class));
    assertThat(standIn.received(PlatformService.OBJECTS), is(1L));
  }

  // A write that takes effect after its timeout must not be reported as not executed.
  @Test
  void writesSlowerThanTheTimeoutAreResponseLostAndSentOnce() throws Exception {
    standIn.setFaults(new PlatformFaults(false, false, 0, 5_000, 0, ListingFault.NONE));
    assertThat(
        awaitError(platform.table().write("k", 0, bytes("v"))),
        instanceOf(PlatformError.ResponseLost.class));
    standIn.setFaults(PlatformFaults.none());
    assertThat(awaitValue(platform.table().read("k")).isDefined(), is(true));
    assertThat(standIn.writes(PlatformService.TABLE), is(1L));
  }

  // A single large response must not exhaust the memory.
  @Test
  void responsesOverTheSizeLimitAreErrors() throws Exception {
    standIn.putObject("large", new byte[1_001]);
    standIn.putObject("fits", new byte[1_000]);
    PlatformError large = awaitError(platform.objectStore().read("large"));
    assertThat(large.detail(), containsString("1000 bytes"));
    assertThat(awaitValue(platform.objectStore().read("fits")).isDefined(), is(true));
  }

  // A 404 caused by a wrong path must not be interpreted as a missing row.
  @Test
  void notFoundWithoutTheAbsentHeaderIsRejected() throws Exception {
    URI wrongBase = URI.create("http://127.0.0.1:" + standIn.port() + "/elsewhere/");
    HttpPlatform elsewhere = new HttpPlatform(wrongBase, client);
    assertThat(awaitError(elsewhere.table().read("k")), instanceOf(PlatformError.Rejected.class));
    assertThat(awaitError(platform.table().read("")), instanceOf(PlatformError.Rejected.class));
  }
}
