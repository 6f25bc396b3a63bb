package io.zinniawood.core.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.Fence;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.CancelOutcome;
import io.zinniawood.core.model.ClaimKey;
import io.zinniawood.core.model.ClaimRow;
import io.zinniawood.core.model.ClaimState;
import io.zinniawood.core.model.Outcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Simulates an agent with an entry, a table and a service that can fail; checks the invariants. */
final class CallSimulation {
  private static final int MAX_CONCURRENT_CALLS = 2;
  private static final int ATTEMPT_COUNT = 9;

  private final AgentDriver agent = AgentDriver.serviceAgent(MAX_CONCURRENT_CALLS);
  private final List<AgentEffect> outstanding = new ArrayList<>();
  private final Map<ClaimKey, ClaimRow> table = new HashMap<>();
  private final Map<String, Fence> knownFences = new HashMap<>();
  private final Set<AttemptId> called = new HashSet<>();
  private final Set<AttemptId> notRun = new HashSet<>();
  private final Set<AttemptId> dispatched = new HashSet<>();
  private final Set<AttemptId> replied = new HashSet<>();
  private final Map<ClaimKey, Integer> runsByKey = new HashMap<>();
  private boolean leaving;
  private boolean stopped;

  /** Performs the action that a random number selects. */
  void performAction(int choice) {
    int attempt = (choice / 16) % ATTEMPT_COUNT;
    int mode = (choice / 256) % 4;
    switch (choice % 16) {
      case 0, 1, 2, 3, 4 -> dispatch(attempt);
      case 5 -> handleEffects(agent.receive(AgentDriver.cancel("a" + attempt)));
      case 6, 7, 8, 9, 10 -> completeOutstanding(choice / 16, mode);
      case 11 -> {
        handleEffects(agent.apply(new AgentEvent.PeerDisconnected(AgentDriver.ENTRY)));
        handleEffects(agent.apply(new AgentEvent.PeerConnected(AgentDriver.ENTRY, PeerRole.ENTRY)));
      }
      case 12 -> handleEffects(agent.advanceMillis((long) mode * 400));
      case 13 -> excludeAttempt(attempt);
      case 14 -> claimByOtherAgent(attempt, mode);
      default -> {
        if (mode == 3) {
          drain();
        }
      }
    }
  }

  /** Drains the agent, completes all outstanding effects, and checks that it stops and replied. */
  void drainAndCheck() {
    drain();
    for (int round = 0; round < 200 && !stopped; round++) {
      while (!outstanding.isEmpty()) {
        completeOutstanding(0, 0);
      }
      handleEffects(agent.advanceMillis(1_000));
    }
    assertThat("the agent stops after the drain", stopped);
    Set<AttemptId> withoutReply = new HashSet<>(dispatched);
    withoutReply.removeAll(replied);
    assertThat("attempts without a reply", withoutReply, equalTo(Set.of()));
  }

  private static Message.Dispatch message(int attempt, Map<String, Fence> fences) {
    String id = "a" + attempt;
    if (attempt % 3 == 0) {
      return AgentDriver.dispatch(id);
    }
    String key = "k" + attempt % 3;
    return AgentDriver.keyed(id, key, fences.getOrDefault(id, new Fence(0)).value());
  }

  private void dispatch(int attempt) {
    // An attempt keeps the fence that its entry knew at first; later attempts use a newer one.
    String id = "a" + attempt;
    knownFences.computeIfAbsent(
        id, attemptId -> knownFences.getOrDefault("k" + attempt % 3, new Fence(0)));
    dispatched.add(new AttemptId(id));
    handleEffects(agent.receive(message(attempt, knownFences)));
  }

  private void drain() {
    if (!leaving) {
      leaving = true;
      handleEffects(agent.apply(new AgentEvent.DrainRequested()));
    }
  }

  private void handleEffects(Vector<AgentEffect> effects) {
    for (AgentEffect effect : effects) {
      if (effect instanceof AgentEffect.CallService call) {
        onCall(call);
      } else if (effect instanceof AgentEffect.Send send) {
        onMessage(send.message());
      } else if (effect instanceof AgentEffect.WriteClaim
          || effect instanceof AgentEffect.StoreAnswer) {
        outstanding.add(effect);
      } else if (effect instanceof AgentEffect.Stop) {
        stopped = true;
      }
    }
  }

  private void onCall(AgentEffect.CallService call) {
    assertThat("attempt called at most once: " + call.attempt(), called.add(call.attempt()));
    assertThat(
        "no call after the attempt was reported as not run", !notRun.contains(call.attempt()));
    assertThat("no call starts after LEAVING", !leaving);
    outstanding.add(call);
    long calls = outstanding.stream().filter(AgentEffect.CallService.class::isInstance).count();
    assertThat(
        "concurrent calls within the limit", (int) calls, lessThanOrEqualTo(MAX_CONCURRENT_CALLS));
    keyOf(call.attempt())
        .forEach(
            key ->
                assertThat("at most one call per key", runsByKey.merge(key, 1, Integer::sum) <= 1));
  }

  private static Option<ClaimKey> keyOf(AttemptId attempt) {
    return KeyClaims.claimKey(message(attemptNumber(attempt), Map.of()));
  }

  private static int attemptNumber(AttemptId attempt) {
    return Integer.parseInt(attempt.value().substring(1));
  }

  private void onMessage(Message message) {
    if (message instanceof Message.DispatchReply reply) {
      replied.add(reply.attempt());
    } else if (message instanceof Message.DispatchRefused refused) {
      replied.add(refused.attempt());
      if (refused.outcome() == Outcome.NOT_RUN) {
        confirmNotRun(refused.attempt());
      }
      refused
          .claim()
          .filter(row -> row.state() == ClaimState.RELEASED)
          .forEach(row -> knownFences.put("k" + attemptNumber(refused.attempt()) % 3, row.fence()));
    } else if (message instanceof Message.CancelResult cancelled
        && cancelled.outcome() == CancelOutcome.NOT_STARTED) {
      replied.add(cancelled.attempt());
      confirmNotRun(cancelled.attempt());
    }
  }

  private void confirmNotRun(AttemptId attempt) {
    assertThat(
        "attempt reported as not run was never called: " + attempt, !called.contains(attempt));
    notRun.add(attempt);
  }

  private void completeOutstanding(int pick, int mode) {
    if (outstanding.isEmpty()) {
      return;
    }
    AgentEffect effect = outstanding.remove(pick % outstanding.size());
    if (effect instanceof AgentEffect.WriteClaim claim) {
      handleEffects(
          agent.apply(new AgentEvent.ClaimWritten(claim.attempt(), writeClaim(claim, mode))));
    } else if (effect instanceof AgentEffect.StoreAnswer store) {
      handleEffects(
          agent.apply(new AgentEvent.AnswerStored(store.attempt(), storeRow(store, mode))));
    } else if (effect instanceof AgentEffect.CallService call) {
      completeCall(call.attempt(), mode);
    }
  }

  private void completeCall(AttemptId attempt, int mode) {
    if (mode == 2) {
      called.remove(attempt);
      keyOf(attempt).forEach(key -> runsByKey.merge(key, -1, Integer::sum));
      handleEffects(agent.apply(new AgentEvent.ServiceFailed(attempt, Outcome.NOT_RUN, "refused")));
      notRun.add(attempt);
    } else if (mode == 3) {
      handleEffects(agent.apply(new AgentEvent.ServiceFailed(attempt, Outcome.UNKNOWN, "lost")));
    } else {
      handleEffects(agent.apply(new AgentEvent.ServiceAnswered(attempt, AgentDriver.ANSWER)));
    }
  }

  private ClaimWriteResult writeClaim(AgentEffect.WriteClaim claim, int mode) {
    if (mode == 2) {
      return new ClaimWriteResult.NotWritten();
    }
    ClaimRow present = table.get(claim.key());
    boolean free =
        present == null
            || (present.state() == ClaimState.RELEASED && present.fence().equals(claim.fence()));
    if (mode == 3) {
      return new ClaimWriteResult.OutcomeUnknown();
    }
    if (free) {
      table.put(claim.key(), claim.row());
    }
    if (mode == 1) {
      return new ClaimWriteResult.OutcomeUnknown();
    }
    return free ? new ClaimWriteResult.Claimed() : new ClaimWriteResult.HeldByOther(present);
  }

  private StoreWriteResult storeRow(AgentEffect.StoreAnswer store, int mode) {
    if (mode >= 2) {
      return StoreWriteResult.FAILED;
    }
    ClaimRow present = table.get(store.key());
    if (present != null
        && present.state() == ClaimState.STARTED
        && present.attempt().equals(store.attempt())) {
      table.put(store.key(), store.row());
    }
    return mode == 1 ? StoreWriteResult.FAILED : StoreWriteResult.DONE;
  }

  /**
   * Writes a RELEASED row, as an entry does to exclude an attempt on an unreachable agent (section
   * 3.3 of docs/design.md).
   */
  private void excludeAttempt(int attempt) {
    AttemptId id = new AttemptId("a" + attempt);
    Option<ClaimKey> key = keyOf(id);
    if (key.isEmpty() || table.containsKey(key.get())) {
      return;
    }
    table.put(key.get(), KeyClaimsTest.rowOfOtherAgent(id, ClaimState.RELEASED, 1));
    knownFences.putIfAbsent("a" + attempt, new Fence(0));
    if (knownFences.get("a" + attempt).value() == 0) {
      confirmNotRun(id);
    }
  }

  private void claimByOtherAgent(int attempt, int mode) {
    keyOf(new AttemptId("a" + attempt))
        .filter(key -> mode == 0 && !table.containsKey(key))
        .forEach(
            key ->
                table.put(
                    key,
                    KeyClaimsTest.rowOfOtherAgent(new AttemptId("other"), ClaimState.STARTED, 0)));
  }
}
