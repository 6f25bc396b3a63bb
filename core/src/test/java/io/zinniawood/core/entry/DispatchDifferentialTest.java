package io.zinniawood.core.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.Idempotency;
import io.zinniawood.core.model.LoadReport;
import io.zinniawood.core.model.ServiceAnswer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Compares the dispatch of the reducer with a simple reference and with the flow plan. */
class DispatchDifferentialTest {
  private static final int[] CAPACITY = {2, 4, 8};

  private final double[] virtualTimes = new double[CAPACITY.length];
  private final double[] limit = new double[CAPACITY.length];
  private final int[] inFlight = new int[CAPACITY.length];
  private final int[] reportedRunning = new int[CAPACITY.length];

  // Guards against a selection that ignores capacity, work in flight, load reports or limits. The
  // reference computes the same selection rule with plain loops over arrays.
  @Property(tries = 200, seed = "20261204")
  void selectsLikeTheReference(@ForAll @Size(max = 60) List<@IntRange(max = 999) Integer> script) {
    Arrays.fill(virtualTimes, 0);
    Arrays.fill(inFlight, 0);
    Arrays.fill(reportedRunning, 0);
    World world = new World(3);
    for (int i = 0; i < CAPACITY.length; i++) {
      world.add("s" + i, new Capability.PlainService(Fixtures.CREDIT, CAPACITY[i]));
      limit[i] = CAPACITY[i];
    }
    world.start();
    List<Message.Dispatch> open = new ArrayList<>();
    Map<AttemptId, Integer> endpointIndexes = new HashMap<>();
    for (int code : script) {
      if (code % 3 == 0 && !open.isEmpty()) {
        Message.Dispatch done = open.remove(code / 3 % open.size());
        int index = endpointIndexes.get(done.attempt());
        if (inFlight[index] * 2 >= (int) limit[index]) {
          limit[index] = Math.min(CAPACITY[index] * 1.5, limit[index] + 1 / limit[index]);
        }
        inFlight[index]--;
        reportedRunning[index] = code / 100;
        reply(world, done, index, code / 100);
      } else {
        world.call("c" + world.effects.size(), Idempotency.IDEMPOTENT, Option.none());
        int expected = selectByReference();
        var sent = world.sentMessages(Message.Dispatch.class, message -> true);
        assertThat(sent.size() - endpointIndexes.size(), equalTo(expected >= 0 ? 1 : 0));
        if (expected >= 0) {
          EntryEffect.SendToAgent last = sent.get(sent.size() - 1);
          assertThat(last.endpoint().value(), equalTo("s" + expected));
          open.add((Message.Dispatch) last.message());
          endpointIndexes.put(open.get(open.size() - 1).attempt(), expected);
        }
      }
    }
  }

  private static void reply(World world, Message.Dispatch done, int index, int running) {
    FakeAgent agent = world.agent("s" + index);
    world.reduce(
        new EntryEvent.AgentMessageReceived(
            agent.endpoint,
            agent.incarnation,
            new Message.DispatchReply(
                done.request(),
                done.attempt(),
                new ServiceAnswer(200, Vector.empty(), done.call().body()),
                new LoadReport(running, 0, 8, 0))));
  }

  /**
   * Returns the index of the endpoint with the earliest virtual finish time, or -1 if all are full.
   */
  private int selectByReference() {
    double minVirtualTime = 0;
    for (int i = 0; i < CAPACITY.length; i++) {
      if (inFlight[i] < (int) limit[i]) {
        minVirtualTime = Math.max(minVirtualTime, virtualTimes[i] - 1.0 / (int) limit[i]);
      }
    }
    int best = -1;
    double bestScore = Double.POSITIVE_INFINITY;
    for (int i = 0; i < CAPACITY.length; i++) {
      double load = inFlight[i] + 0.5 * Math.max(0, reportedRunning[i] - inFlight[i]);
      double score = Math.max(virtualTimes[i], minVirtualTime) + (1 + load) / (int) limit[i];
      if (inFlight[i] < (int) limit[i] && score < bestScore) {
        best = i;
        bestScore = score;
      }
    }
    if (best >= 0) {
      virtualTimes[best] = Math.max(virtualTimes[best], minVirtualTime) + 1.0 / (int) limit[best];
      inFlight[best]++;
    }
    return best;
  }

  // Guards against chains that do not follow the flow plan: a slow replica would get as much work
  // as a fast one, and the throughput would stay below the planned maximum.
  @Example
  void chainsFollowTheFlowPlan() {
    World world = new World(3);
    world.add("fast", Fixtures.stageCapability(0, 4, 300));
    world.add("slow", Fixtures.stageCapability(0, 4, 100));
    world.add("end", Fixtures.stageCapability(4, Fixtures.LAYERS, 1_000));
    world.start();
    for (int i = 0; i < 400; i++) {
      world.reduce(Fixtures.modelRequest("m" + i, world.deadline(3_000)));
      world.run(40);
      world.reduce(new EntryEvent.CallerDisconnected(new RequestId("m" + i)));
    }
    assertThat(world.countSentTo("slow", Message.OpenSession.class) / 400.0, closeTo(0.25, 0.06));
  }

  // Guards against prompts that miss the cache of their prefix, and against a popular prefix that
  // overloads one endpoint while others are idle.
  @Example
  void prefixPrefersOneEndpointWithinTheLoadBound() {
    World world = new World(3);
    for (String name : List.of("a1", "a2", "a3")) {
      world.add(name, Fixtures.stageCapability(0, Fixtures.LAYERS, 100));
    }
    world.start();
    for (int i = 0; i < 9; i++) {
      world.reduce(Fixtures.modelRequest("m" + i, 7, world.deadline(3_000)));
      world.run(i == 0 ? 200 : 0);
    }
    var first = world.sentMessages(Message.OpenSession.class, m -> true).get(0).endpoint();
    assertThat(world.countSentTo(first.value(), Message.OpenSession.class), equalTo(5));
  }
}
