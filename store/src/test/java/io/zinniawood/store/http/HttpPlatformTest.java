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
import io.zinniawood.store.TableWrite;
import io.zinniawood.store.VmListing;
import io.zinniawood.store.WeightStore.TransferGrant;
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
        new HttpPlatformSettings(500, 600, 1_000, 16, new CircuitSettings(1_000, 1, 1));
    return new HttpPlatform(URI.create("http://127.0.0.1:" + port), client, settings);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static <T> Either<PlatformError, T> await(
      CompletableFuture<Either<PlatformError, T>> future) throws Exception {
    return future.get(20, TimeUnit.SECONDS);
  }

  private static <T> T value(CompletableFuture<Either<PlatformError, T>> future) throws Exception {
    return await(future).getOrElseThrow(error -> new AssertionError(error.toString()));
  }

  private static <T> PlatformError error(CompletableFuture<Either<PlatformError, T>> future)
      throws Exception {
    return await(future).swap().getOrElseThrow(() -> new AssertionError("no error"));
  }

  // Guards against two owners of a claim: a create must fail when the row exists.
  @Test
  void conditionalWritesReportTheRowInTheWay() throws Exception {
    String key = "claim/strooibak/orders/a b&c=ä";
    assertThat(value(platform.table().read(key)), equalTo(Option.none()));
    assertThat(
        value(platform.table().write(key, 0, bytes("one"))), equalTo(new TableWrite.Written(1)));
    TableRow present = new TableRow(key, 1, Payload.ofText("one"));
    assertThat(
        value(platform.table().write(key, 0, bytes("two"))),
        equalTo(new TableWrite.Conflict(Option.some(present))));
    assertThat(
        value(platform.table().write(key, 1, bytes("three"))), equalTo(new TableWrite.Written(2)));
    assertThat(
        value(platform.table().write("other", 5, bytes("x"))),
        equalTo(new TableWrite.Conflict(Option.none())));
    assertThat(
        value(platform.table().read(key)),
        equalTo(Option.some(new TableRow(key, 2, Payload.ofText("three")))));
  }

  // Guards against an edit that is overlooked because the version did not change.
  @Test
  void objectsChangeTheirVersionWithEachWrite() throws Exception {
    String first = value(platform.objectStore().write("config/10.toml", bytes("a")));
    String second = value(platform.objectStore().write("config/10.toml", bytes("b")));
    value(platform.objectStore().write("other/1", bytes("c")));
    assertThat(second.equals(first), is(false));
    assertThat(
        value(platform.objectStore().read("config/10.toml")),
        equalTo(Option.some(new StoredObject("config/10.toml", second, Payload.ofText("b")))));
    ObjectListing listing = value(platform.objectStore().list("config/"));
    assertThat(listing.completeness(), is(ObjectListing.Completeness.COMPLETE));
    assertThat(listing.objects(), contains(new ObjectVersion("config/10.toml", second)));
    assertThat(value(platform.objectStore().delete("config/10.toml")), is(true));
    assertThat(value(platform.objectStore().delete("config/10.toml")), is(false));
    assertThat(value(platform.objectStore().read("config/10.toml")), equalTo(Option.none()));
  }

  // Guards against a listing with missing files being taken for the whole folder.
  @Test
  void partialListingsSaySo() throws Exception {
    for (String name : List.of("config/1", "config/2", "config/3")) {
      standIn.putObject(name, bytes(name));
    }
    standIn.setFaults(PlatformFaults.listings(ListingFault.MARKED));
    ObjectListing listing = value(platform.objectStore().list("config/"));
    assertThat(listing.completeness(), is(ObjectListing.Completeness.PARTIAL));
    assertThat(listing.objects().size(), is(2));
  }

  // Guards against VMs that are lost or misread between list and membership view.
  @Test
  void vmListIsReadAndItsVersionRises() throws Exception {
    VmListing before = value(platform.vmList().read());
    assertThat(before.vms().head().role(), is(VmRole.ENDPOINT));
    standIn.putVm(new VmRecord("vm-1", "ENDPOINT", "LEAVING", "assen", "bins", "127.0.0.1", 7000));
    VmListing after = value(platform.vmList().read());
    assertThat(after.version(), greaterThan(before.version()));
    assertThat(after.vms().head().state(), is(VmState.LEAVING));
  }

  // Guards against repair that ignores the rate limit of the weight store.
  @Test
  void weightStoreDelaysTransfersOverItsRate() throws Exception {
    assertThat(
        value(platform.weightStore().requestTransfer("m", "1")),
        equalTo(new TransferGrant.Granted()));
    assertThat(
        value(platform.weightStore().requestTransfer("m", "1")),
        instanceOf(TransferGrant.Delayed.class));
  }

  // Guards against "unknown" for a write that certainly did not happen.
  @Test
  void outagesAndRefusedConnectionsAreUnavailable() throws Exception {
    standIn.setFaults(PlatformFaults.outage());
    PlatformError down = error(platform.table().write("k", 0, bytes("v")));
    assertThat(down, instanceOf(PlatformError.Unavailable.class));
    standIn.setFaults(PlatformFaults.none());
    assertThat(value(platform.table().read("k")), equalTo(Option.none()));
    int port = standIn.port();
    standIn.close();
    client.connectionPool().evictAll();
    assertThat(
        error(platform(port).table().write("k", 0, bytes("v"))),
        instanceOf(PlatformError.Unavailable.class));
  }

  // Guards against "not-run" for a write that took effect, and against a second write.
  @Test
  void lostResponsesOfWritesAreReportedAndNotRepeated() throws Exception {
    standIn.setFaults(PlatformService.TABLE, PlatformFaults.lostResponses(1));
    assertThat(
        error(platform.table().write("k", 0, bytes("v"))),
        instanceOf(PlatformError.ResponseLost.class));
    assertThat(standIn.writes(PlatformService.TABLE), is(1L));
    assertThat(value(platform.table().read("k")).isDefined(), is(true));
  }

  // Guards against a caller that waits for good, and against a silent store taken for a refusal.
  @Test
  void silenceEndsAsLostResponse() throws Exception {
    standIn.setFaults(PlatformFaults.silence());
    PlatformError silent = error(platform.objectStore().write("o", bytes("v")));
    assertThat(silent, instanceOf(PlatformError.ResponseLost.class));
    assertThat(standIn.received(PlatformService.OBJECTS), is(1L));
  }

  // Guards against a slow write that is reported as not done although it takes effect later.
  @Test
  void writesSlowerThanTheTimeoutAreLostAndSentOnce() throws Exception {
    standIn.setFaults(new PlatformFaults(false, false, 0, 5_000, 0, ListingFault.NONE));
    assertThat(
        error(platform.table().write("k", 0, bytes("v"))),
        instanceOf(PlatformError.ResponseLost.class));
    standIn.setFaults(PlatformFaults.none());
    assertThat(value(platform.table().read("k")).isDefined(), is(true));
    assertThat(standIn.writes(PlatformService.TABLE), is(1L));
  }

  // Guards against memory exhaustion by one response.
  @Test
  void responsesOverTheBoundAreErrors() throws Exception {
    standIn.putObject("large", new byte[1_001]);
    standIn.putObject("fits", new byte[1_000]);
    PlatformError large = error(platform.objectStore().read("large"));
    assertThat(large.detail(), containsString("1000 bytes"));
    assertThat(value(platform.objectStore().read("fits")).isDefined(), is(true));
  }

  // Guards against a wrong path that reads as "row does not exist".
  @Test
  void notFoundWithoutTheAbsentMarkIsRejected() throws Exception {
    URI wrongBase = URI.create("http://127.0.0.1:" + standIn.port() + "/elsewhere/");
    HttpPlatform elsewhere = new HttpPlatform(wrongBase, client);
    assertThat(error(elsewhere.table().read("k")), instanceOf(PlatformError.Rejected.class));
    assertThat(error(platform.table().read("")), instanceOf(PlatformError.Rejected.class));
  }
}
