package io.zinniawood.store.http;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.model.PackedStoreVersion;
import io.zinniawood.standin.platform.PlatformService;
import io.zinniawood.standin.platform.PlatformSettings;
import io.zinniawood.standin.platform.PlatformStandIn;
import io.zinniawood.store.PlatformError;
import io.zinniawood.store.StoredObject;
import io.zinniawood.store.Table;
import io.zinniawood.store.TableRow;
import io.zinniawood.store.TableWriteResult;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Access to a store that came back from a copy. */
class NewestStoreEraTest {
  private static final int ALL_MILLIS = 60_000;

  private final OkHttpClient client = new OkHttpClient();
  private final PlatformStandIn standIn = PlatformStandIn.launch(PlatformSettings.unlimited());
  private final HttpPlatform platform = newPlatform();

  private HttpPlatform newPlatform() {
    return new HttpPlatform(URI.create("http://127.0.0.1:" + standIn.port()), client);
  }

  @AfterEach
  void stop() {
    standIn.close();
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }

  private static Either<PlatformError, TableWriteResult> write(Table table, long expected)
      throws Exception {
    return table.write("k", expected, new byte[] {1}).get(20, TimeUnit.SECONDS);
  }

  private static long written(Table table, long expected) throws Exception {
    return ((TableWriteResult.Written) write(table, expected).get()).version();
  }

  private static Option<TableRow> read(Table table) throws Exception {
    return table.read("k").get(20, TimeUnit.SECONDS).get();
  }

  // Guards against a conditional write that succeeds because its version was given out again.
  @Test
  void versionOfEarlierEraIsNotSent() throws Exception {
    long before = written(platform.table(), 0);
    standIn.restore(ALL_MILLIS, 0);
    assertThat(read(platform.table()).isDefined(), is(false));
    long after = written(platform.table(), platform.table().absentVersion());
    assertThat(after, is(PackedStoreVersion.of(1, PackedStoreVersion.number(before))));

    long writes = standIn.writes(PlatformService.TABLE);
    assertThat(
        write(platform.table(), before).getLeft(), instanceOf(PlatformError.Unavailable.class));
    assertThat(standIn.writes(PlatformService.TABLE), is(writes));
    assertThat(read(platform.table()).get().version(), is(after));
  }

  // Guards against taking a write for a success that replaced another row than the one read.
  @Test
  void resultOfWriteThatTookEffectInAnotherEraIsUnknown() throws Exception {
    long before = written(platform.table(), 0);
    standIn.restore(ALL_MILLIS, 0);
    written(newPlatform().table(), PackedStoreVersion.of(1, 0));
    assertThat(
        write(platform.table(), before).getLeft(), instanceOf(PlatformError.ResponseLost.class));
  }

  // Guards against an edit that is not noticed because its version was given out before.
  @Test
  void objectVersionsDifferBetweenEras() throws Exception {
    standIn.putObject("f", "one".getBytes(UTF_8));
    StoredObject before = platform.objectStore().read("f").get(20, TimeUnit.SECONDS).get().get();
    standIn.restore(ALL_MILLIS, 0);
    standIn.putObject("f", "two".getBytes(UTF_8));
    StoredObject after = platform.objectStore().read("f").get(20, TimeUnit.SECONDS).get().get();
    assertThat(after.version(), not(equalTo(before.version())));
    assertThat(
        platform.objectStore().list("").get(20, TimeUnit.SECONDS).get().objects().head().version(),
        equalTo(after.version()));
  }

  // Guards against a process that does not learn that acknowledged writes may be lost.
  @Test
  void eachNewerEraIsReportedOnce() throws Exception {
    List<Long> eras = new ArrayList<>();
    platform.table().onNewerEra(eras::add);
    read(platform.table());
    standIn.restore(0, 0);
    read(platform.table());
    read(platform.table());
    standIn.restore(0, 0);
    platform.objectStore().read("f").get(20, TimeUnit.SECONDS);
    assertThat(eras, contains(1L, 2L));
    List<Long> late = new ArrayList<>();
    platform.table().onNewerEra(late::add);
    assertThat(late, contains(2L));
  }
}
