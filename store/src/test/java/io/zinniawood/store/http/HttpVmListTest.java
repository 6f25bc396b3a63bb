package io.zinniawood.store.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.zinniawood.http.HttpResult;
import io.zinniawood.http.MalformedResponseException;
import io.zinniawood.store.VmListing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import okhttp3.Headers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

final class HttpVmListTest {
  private static final String SOUND = entry("sound", "ENDPOINT", "7001");

  private static String entry(String vm, String role, String port) {
    return "{\"vm\":\"%s\",\"role\":\"%s\",\"state\":\"LIVE\",\"dataCentre\":\"d\","
            .formatted(vm, role)
        + "\"pool\":\"p\",\"host\":\"10.0.0.1\",\"port\":%s}".formatted(port);
  }

  private static VmListing decode(String entries, List<String> faults)
      throws MalformedResponseException {
    byte[] body =
        "{\"note\":[[1]],\"vms\":[%s],\"version\":3}"
            .formatted(entries)
            .getBytes(StandardCharsets.UTF_8);
    return HttpVmList.decode(new HttpResult.Response(200, Headers.of(), body), faults::addAll)
        .get();
  }

  static List<String> oddEntries() {
    return List.of(
        entry("odd", "ENDPOINT", "70000"),
        entry("odd", "ENDPOINT", "0"),
        entry("odd", "ENDPOINT", "99999999999"),
        entry("odd", "ENDPOINT", "1" + "0".repeat(2_000)),
        entry("odd", "ENDPOINT", "[".repeat(100_000) + "]".repeat(100_000)),
        entry("odd", "ENDPOINT", "\"7001\""),
        entry("odd", "ACCELERATOR", "7001"),
        entry("", "ENDPOINT", "7001"),
        entry("x".repeat(5_000), "ENDPOINT", "7001"),
        "{}",
        "7",
        "[]",
        "null");
  }

  // Guards against one odd entry that keeps an entry from following the list of VMs.
  @ParameterizedTest
  @MethodSource("oddEntries")
  void oddEntryIsIgnoredAndOthersHold(String odd) throws MalformedResponseException {
    List<String> faults = new ArrayList<>();
    VmListing listing = decode(odd + "," + SOUND, faults);
    assertThat(listing.version(), is(3L));
    assertThat(listing.vms().map(vm -> vm.vm().value()), contains("sound"));
    assertThat(faults, hasSize(1));
  }

  @Test
  void soundListHasNoFaults() throws MalformedResponseException {
    List<String> faults = new ArrayList<>();
    assertThat(decode(SOUND, faults).vms().size(), is(1));
    assertThat(decode("", faults).vms().size(), is(0));
    assertThat(faults, hasSize(0));
  }
}
