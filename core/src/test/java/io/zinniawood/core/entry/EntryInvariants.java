package io.zinniawood.core.entry;

import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.IdempotencyKey;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.CancelOutcome;
import io.zinniawood.core.model.Idempotency;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.ProblemType;
import io.zinniawood.core.model.ServingState;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks the invariants of the entry at each event and effect. */
final class EntryInvariants {
  private final World world;
  private final Set<RequestId> arrived = new HashSet<>();
  private final Set<RequestId> disconnected = new HashSet<>();
  private final Set<RequestId> answered = new HashSet<>();
  private final Set<RequestId> recorded = new HashSet<>();
  private final Set<RequestId> reportedNotRun = new HashSet<>();
  private final Map<RequestId, Integer> tokenCounts = new HashMap<>();
  private final Map<RequestId, AttemptId> startableAttempts = new HashMap<>();
  private final Map<RequestId, Integer> executionCounts = new HashMap<>();
  private final Map<String, AttemptId> attemptByKey = new HashMap<>();
  private final Map<RequestId, String> keyByRequest = new HashMap<>();
  private final Map<SessionId, RequestId> requestBySession = new HashMap<>();
  private final Set<RequestId> requestsRunByEngine = new HashSet<>();
  private final Map<EndpointId, Incarnation> leavingIncarnations = new HashMap<>();
  private final Set<List<String>> alreadySent = new HashSet<>();
  private boolean tokenOfCurrentEpoch;

  EntryInvariants(World world) {
    this.world = world;
  }

  void beforeEvent(EntryEvent event) {
    if (event instanceof EntryEvent.ModelRequestArrived request) {
      arrived.add(request.request());
    } else if (event instanceof EntryEvent.ServiceRequestArrived request) {
      arrived.add(request.request());
      request.key().forEach(key -> keyByRequest.put(request.request(), key.value()));
      request
          .key()
          .forEach(key -> world.table.lastRequestByKey.put(key.value(), request.request()));
      request.key().forEach(key -> world.table.notRunReplyByKey.remove(key.value()));
    } else if (event instanceof EntryEvent.CallerDisconnected caller) {
      disconnected.add(caller.request());
    } else if (event instanceof EntryEvent.ClaimReleaseCompleted completed
        && completed.resolution() instanceof ClaimReleaseResult.Released) {
      startableAttempts.remove(completed.request(), completed.attempt());
    } else if (event instanceof EntryEvent.AgentMessageReceived received) {
      beforeMessage(received);
    } else if (event instanceof EntryEvent.AgentConnected connected) {
      recordStatus(
          connected.identity().endpoint(), connected.identity().incarnation(), connected.status());
    }
  }

  private void beforeMessage(EntryEvent.AgentMessageReceived received) {
    if (received.message() instanceof Message.Token token) {
      tokenOfCurrentEpoch =
          world
              .state
              .sessions()
              .get(token.session())
              .exists(session -> session.epoch().equals(token.epoch()));
    } else if (received.message() instanceof Message.Status status) {
      recordStatus(received.endpoint(), received.incarnation(), status);
    } else if (received.message() instanceof Message.DispatchRefused refused
        && refused.outcome() == Outcome.NOT_RUN) {
      startableAttempts.remove(refused.request(), refused.attempt());
    } else if (received.message() instanceof Message.CancelResult cancelled
        && cancelled.outcome() == CancelOutcome.NOT_STARTED) {
      startableAttempts.remove(cancelled.request(), cancelled.attempt());
    }
  }

  private void recordStatus(EndpointId endpoint, Incarnation incarnation, Message.Status status) {
    if (status.state() == ServingState.LEAVING) {
      leavingIncarnations.put(endpoint, incarnation);
    }
  }

  void checkEffect(EntryEffect effect) {
    if (effect instanceof EntryEffect.ReplyToken token) {
      int position = tokenCounts.merge(token.request(), 1, Integer::sum) - 1;
      require(!answered.contains(token.request()), "token after the end of the answer", effect);
      require(tokenOfCurrentEpoch, "token of an old epoch", effect);
      require(
          token.text().equals("w" + position + "<" + token.request() + ">ok"),
          "token out of order, of another request or of wrong layers at " + position,
          effect);
    } else if (effect instanceof EntryEffect.FinishAnswer finish) {
      checkAnswer(finish.request(), effect);
      require(
          tokenCounts.get(finish.request()) == Fixtures.TOKENS_PER_ANSWER,
          "answer has missing or surplus tokens",
          effect);
    } else if (effect instanceof EntryEffect.ReplyServiceAnswer reply) {
      checkAnswer(reply.request(), effect);
    } else if (effect instanceof EntryEffect.ReplyProblem problem) {
      checkAnswer(problem.request(), effect);
      checkNotRunOfKey(problem);
      if (problem.problem().outcome() == Outcome.NOT_RUN) {
        reportedNotRun.add(problem.request());
      }
    } else if (effect instanceof EntryEffect.RecordResult result) {
      require(recorded.add(result.result().request()), "result recorded twice", effect);
      if (result.result().outcome() == Outcome.NOT_RUN) {
        reportedNotRun.add(result.result().request());
      }
    } else if (effect instanceof EntryEffect.SendToAgent send) {
      checkSent(send);
    }
    for (RequestId request : reportedNotRun) {
      require(
          !executionCounts.containsKey(request) && !requestsRunByEngine.contains(request),
          "not-run request " + request + " ran",
          effect);
    }
  }

  private void checkAnswer(RequestId request, EntryEffect effect) {
    require(arrived.contains(request), "answer without a request", effect);
    require(answered.add(request), "second answer", effect);
    require(!disconnected.contains(request), "answer to a disconnected caller", effect);
  }

  /**
   * Checks a not-run reply to the last request with an idempotency key: unless its detail excepts
   * earlier copies, no request with that key has run. {@link #callStarted} checks that none runs
   * later.
   */
  private void checkNotRunOfKey(EntryEffect.ReplyProblem reply) {
    String key = keyByRequest.get(reply.request());
    if (key != null
        && reply.problem().outcome() == Outcome.NOT_RUN
        && reply.problem().type() != ProblemType.KEY_REUSED
        && !reply.problem().detail().contains("earlier copy")
        && reply.request().equals(world.table.lastRequestByKey.get(key))) {
      require(!world.table.executedKeys.contains(key), "a copy of the key ran before", reply);
      world.table.notRunReplyByKey.put(key, reply.toString());
    }
  }

  private void checkSent(EntryEffect.SendToAgent send) {
    if (send.message() instanceof Message.OpenSession open) {
      boolean firstOpening =
          alreadySent.add(
              List.of(
                  open.session().value(), send.endpoint().value(), send.incarnation().toString()));
      require(
          !firstOpening || !hasAnnouncedLeaving(send), "new session at a leaving endpoint", send);
      world
          .state
          .sessions()
          .get(open.session())
          .forEach(session -> requestBySession.put(open.session(), session.arrival().request()));
    } else if (send.message() instanceof Message.Dispatch dispatch
        && dispatch.idempotency() == Idempotency.NON_IDEMPOTENT) {
      boolean firstDispatch =
          alreadySent.add(List.of(dispatch.request().value(), dispatch.attempt().value()));
      boolean joinsHeldClaim = dispatch.key().isDefined() && holdsClaim(dispatch);
      if (firstDispatch && !joinsHeldClaim) {
        require(!hasAnnouncedLeaving(send), "new call at a leaving endpoint", send);
        AttemptId before = startableAttempts.put(dispatch.request(), dispatch.attempt());
        require(before == null, "second dispatch while " + before + " may start", send);
      }
    }
  }

  private boolean holdsClaim(Message.Dispatch dispatch) {
    return world.table.claims.values().stream()
        .anyMatch(row -> row.attempt().equals(dispatch.attempt()));
  }

  private boolean hasAnnouncedLeaving(EntryEffect.SendToAgent send) {
    return send.incarnation().equals(leavingIncarnations.get(send.endpoint()));
  }

  void callStarted(Message.Dispatch dispatch) {
    int runs = executionCounts.merge(dispatch.request(), 1, Integer::sum);
    if (dispatch.idempotency() == Idempotency.NON_IDEMPOTENT) {
      require(runs == 1, "non-idempotent request ran twice: " + dispatch.request(), null);
      for (String key : dispatch.key().map(IdempotencyKey::value)) {
        world.table.executedKeys.add(key);
        require(
            !world.table.notRunReplyByKey.containsKey(key),
            "key " + key + " ran after " + world.table.notRunReplyByKey.get(key),
            null);
      }
      dispatch
          .key()
          .forEach(
              key ->
                  require(
                      attemptByKey.put(key.value(), dispatch.attempt()) == null,
                      "key " + key + " ran twice",
                      null));
    }
    require(!reportedNotRun.contains(dispatch.request()), "not-run request started", null);
  }

  void stepStarted(SessionId session) {
    RequestId request = requestBySession.get(session);
    if (request != null) {
      requestsRunByEngine.add(request);
      require(!reportedNotRun.contains(request), "not-run request reached an engine", null);
    }
  }

  /** Checks the invariants that hold once every deadline has passed. */
  void checkFinalState() {
    for (RequestId request : arrived) {
      require(recorded.contains(request), "no result of " + request, null);
      require(
          answered.contains(request) || disconnected.contains(request),
          "no answer to " + request,
          null);
    }
    require(world.state.openRequests() == 0, "open requests remain", null);
    require(world.state.sessions().isEmpty(), "sessions remain", null);
    world
        .state
        .fleet()
        .members()
        .values()
        .forEach(
            member ->
                require(
                    member.workload().inFlight() == 0,
                    "work in flight remains at " + member.endpoint(),
                    null));
  }

  private static void require(boolean holds, String message, EntryEffect effect) {
    if (!holds) {
      throw new AssertionError(effect == null ? message : message + ": " + effect);
    }
  }
}
