package io.zinniawood.agent.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.vavr.control.Option;
import io.zinniawood.core.agent.AgentEvent;
import io.zinniawood.core.entry.LeaseRow;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.PackedStoreVersion;
import io.zinniawood.store.lease.LeaseRowCodec;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class LeaseReaderTest {
  // Guards against an agent that starts after a restore and accepts orders of a lost holder.
  @Test
  void lowestNumberIsThatOfPresentEra() {
    FakeTable table = new FakeTable();
    List<AgentEvent> events = new ArrayList<>();
    table.restoreEmpty();
    table.write(
        LeaseRowCodec.ROW_KEY,
        table.absentVersion(),
        LeaseRowCodec.encode(new LeaseRow(new VmId("e"), new FencingNumber(7), 0)));
    new LeaseReader(table, events::add).readFencingNumber();
    FencingNumber expected = new FencingNumber(PackedStoreVersion.of(1, 0));
    assertThat(events, equalTo(List.of(new AgentEvent.FencingNumberRead(Option.some(expected)))));
  }
}
