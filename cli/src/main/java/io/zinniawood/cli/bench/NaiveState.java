package io.zinniawood.cli.bench;

import io.zinniawood.core.entry.EntryEvent;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.AgentIdentity;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.StageAddress;
import io.zinniawood.core.model.VmEntry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** State of {@link NaiveReducer}. Mutable, since only benchmarks use it. */
final class NaiveState {
  final Map<EndpointId, VmEntry> endpointVms = new HashMap<>();
  final Map<EndpointId, Agent> agents = new TreeMap<>();
  final Map<SessionId, Chat> chatsBySession = new HashMap<>();
  final Map<Integer, Integer> roundRobinCounters = new HashMap<>();
  long startedSessions;

  /**
   * Connected agent.
   *
   * @param identity endpoint, incarnation and address of the agent
   * @param stage model and layers that its engine serves
   */
  record Agent(AgentIdentity identity, Capability.ModelStage stage) {}

  /** Chat request in progress, with the session of its current attempt. */
  static final class Chat {
    final EntryEvent.ModelRequestArrived arrival;
    List<StageAddress> chain = List.of();
    int openedStages;
    int nextPosition;
    int deliveredTokens;
    int attempts;

    Chat(EntryEvent.ModelRequestArrived arrival) {
      this.arrival = arrival;
    }

    RequestId request() {
      return arrival.request();
    }

    ClientAccountId clientAccount() {
      return arrival.clientAccount();
    }

    boolean uses(EndpointId endpoint, Incarnation incarnation) {
      return chain.stream()
          .anyMatch(
              stage ->
                  stage.endpoint().equals(endpoint) && stage.incarnation().equals(incarnation));
    }
  }
}
