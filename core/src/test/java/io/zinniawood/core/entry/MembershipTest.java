package io.zinniawood.core.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.entry.membership.Placement;
import io.zinniawood.core.entry.membership.SubsetSelection;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Idempotency;
import io.zinniawood.core.model.ServingState;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.core.model.VmState;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests of the entry's view of the endpoints. */
class MembershipTest {
  private final World world = World.small();

  // Guards against an outdated VM list or a late status that undoes a leaving notice.
  @Test
  void leavingNoticeOverridesVmListAndLateStatus() {
    world.leave("s1");
    world.run(10);
    world.agent("s1").state = ServingState.SERVING;
    world.sendToEntry(world.agent("s1"), world.agent("s1").status());
    world.publishVmList(world.agents.keySet(), Set.of());
    world.run(10);
    for (int i = 0; i < 20; i++) {
      world.call("c" + i, Idempotency.IDEMPOTENT, Option.none());
      world.run(5);
    }
    assertThat(world.countSentTo("s1", Message.Dispatch.class), equalTo(0));
    assertThat(world.countSentTo("s2", Message.Dispatch.class), equalTo(20));
  }

  // Guards against new work for an endpoint that only the VM list marks as leaving.
  @Test
  void listedLeavingEndpointGetsNoNewWork() {
    world.publishVmList(world.agents.keySet(), Set.of(new EndpointId("s2")));
    for (int i = 0; i < 10; i++) {
      world.call("c" + i, Idempotency.IDEMPOTENT, Option.none());
      world.run(5);
    }
    assertThat(world.countSentTo("s2", Message.Dispatch.class), equalTo(0));
  }

  // Guards against an empty or outdated VM list that removes working endpoints.
  @Test
  void emptyOrOlderVmListRemovesNoConnectedEndpoint() {
    world.publishVmList(Set.of(), Set.of());
    world.reduce(new EntryEvent.VmListReceived(1, Vector.empty()));
    world.run(2_000);
    world.call("c", Idempotency.IDEMPOTENT, Option.none());
    world.run(100);
    assertThat(world.effects(EntryEffect.ReplyServiceAnswer.class), hasSize(1));
    assertThat(world.effects(EntryEffect.DisconnectAgent.class), hasSize(0));
  }

  // Guards against the ejection of a whole pool when a shared cause makes every call fail.
  @Test
  void ejectsAtMostTheConfiguredShareOfPool() {
    int maxEjected = 0;
    world.agents.values().forEach(agent -> agent.stalled = true);
    for (int i = 0; i < 60; i++) {
      world.call("c" + i, Idempotency.IDEMPOTENT, Option.none());
      world.reduce(Fixtures.modelRequest("m" + i, world.deadline(4_000)));
      world.run(50);
      var members = world.state.fleet().members().values();
      maxEjected =
          Math.max(maxEjected, members.count(member -> member.health().ejected(world.nowNanos)));
    }
    assertThat(maxEjected, equalTo(3));
  }

  // Guards against a tight loop of attempts to connect to an endpoint that is down.
  @Test
  void reconnectsWithGrowingDelays() {
    world.crash("s1");
    world.run(20_000);
    long attempts =
        world.effects(EntryEffect.ConnectAgent.class).stream()
            .filter(connect -> connect.endpoint().value().equals("s1"))
            .count();
    assertThat(attempts, lessThan(16L));
    world.agent("s1").restart();
    world.run(6_000);
    assertThat(world.state.fleet().member(new EndpointId("s1")).get().connected(), is(true));
  }

  // Guards against a selection that concentrates the connections on some endpoints, and against one
  // that changes more than necessary when an endpoint joins.
  @Test
  void subsetIsBoundedBalancedAndStable() {
    var vm = Fixtures.vm("vm", VmRole.ENDPOINT, VmState.LIVE);
    var place = new Placement(vm.address(), vm.pool(), vm.dataCentre(), true, false);
    Vector<Member> members =
        Vector.range(0, 40).map(i -> Member.unconnected(new EndpointId("e" + i), place));
    Map<EndpointId, Integer> load = new HashMap<>();
    for (int entry = 0; entry < 200; entry++) {
      VmId self = new VmId("entry-" + entry);
      var chosen = SubsetSelection.choose(self, members, 8);
      assertThat(chosen.size(), equalTo(8));
      chosen.forEach(id -> load.merge(id, 1, Integer::sum));
      var fewer = SubsetSelection.choose(self, members.tail(), 8);
      assertThat(chosen.diff(fewer).size(), lessThanOrEqualTo(1));
    }
    assertThat(load.size(), equalTo(40));
    load.values().forEach(count -> assertThat(count, lessThan(80)));
  }
}
