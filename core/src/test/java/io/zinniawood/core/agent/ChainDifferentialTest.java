package io.zinniawood.core.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.zinniawood.core.model.Payload;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class ChainDifferentialTest {

  /** Runs the stages of a session one after the other in one process. */
  private static List<String> sequentialTokens(EntryModel session) {
    List<String> tokens = new ArrayList<>();
    List<List<Payload>> inputs = new ArrayList<>();
    for (int stage = 0; stage < StageChainSimulation.STAGE_COUNT; stage++) {
      inputs.add(new ArrayList<>());
    }
    for (int position = 0; position < EntryModel.TOKEN_COUNT; position++) {
      Payload value = position == 0 ? session.input(0) : Payload.ofText(tokens.get(position - 1));
      String output = "";
      for (int stage = 0; stage < StageChainSimulation.STAGE_COUNT; stage++) {
        inputs.get(stage).add(value);
        output = FakeEngine.output(stage, inputs.get(stage));
        value = Payload.ofText(output);
      }
      tokens.add(output);
    }
    return tokens;
  }

  private static void checkEqualsSequentialRun(long seed, int sessions, int faults) {
    StageChainSimulation simulation = new StageChainSimulation(new Random(seed), sessions);
    simulation.run(faults);
    for (EntryModel session : simulation.sessions()) {
      assertThat("seed " + seed, session.tokens(), equalTo(sequentialTokens(session)));
    }
  }

  // Guards against a chain whose tokens differ from those of one process that runs its stages one
  // after the other.
  @Property(seed = "1", tries = 300)
  void chainWithoutFaultsEqualsOneProcess(@ForAll long seed) {
    checkEqualsSequentialRun(seed, 3, 0);
  }

  // Guards against positions that run twice, out of order or not at all when stages are replaced
  // with replay or import, connections end, engines fail and steps are repeated. Each of these
  // mutations makes it fail:
  // - StageFrames.handleCurrentEpoch accepts a repeated position (run twice);
  // - StageFrames.handleFrame accepts an old epoch;
  // - StageBatchScheduler.startNextBatch starts a second batch (order);
  // - StageSession.reopened drops pending inputs;
  // - CacheTransfer.completeImport is off by one position;
  // - StageBatchScheduler.recordOutput forwards only the last output of a batch (gap);
  // - StageConnections.unconfirmedPositions leaves out a replay (gap).
  @Property(seed = "2", tries = 2_000)
  void chainWithFaultsEqualsOneProcess(@ForAll long seed) {
    checkEqualsSequentialRun(seed, 2, 6);
  }
}
