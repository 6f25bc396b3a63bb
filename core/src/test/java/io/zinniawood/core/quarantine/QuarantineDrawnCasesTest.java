package io.zinniawood.core.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.zinniawood.core.id.CrashSubject;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.PromptPartId;
import io.zinniawood.core.id.RequestFingerprint;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays drawn cases of requests, first events and crashes to several routers that exchange notices,
 * and counts what they send. A case draws the number of routers, the share of requests that crash
 * endpoints, how often endpoints crash by chance, lost messages and the restart of a router.
 */
final class QuarantineDrawnCasesTest {
  private static final int CASES_PER_SEED = 40;
  private static final long STEP_MILLIS = 10;
  private static final long CASE_MILLIS = 60_000;
  private static final long NOTICE_MILLIS = 250;
  private static final long DOWN_MILLIS = 4_000;
  private static final int ENDPOINTS = 40;
  private static final int OPENINGS = 60;
  private static final double REQUESTS_PER_STEP = 0.6;

  /** Share of the requests cut by a crash that their callers repeat at once. */
  private static final double REPEATED_SHARE = 0.5;

  /** Requests with the cause that the users allow after its last free crash and three seconds. */
  private static final int ALLOWED_SENDS = 3;

  /** What crashes endpoints in a case, and the crashes by it that the users allow freely. */
  private enum Cause {
    PART(5, StartOrder.ARRIVAL),
    REQUEST(3, StartOrder.ARRIVAL),
    PLAIN_REQUEST(3, StartOrder.UNKNOWN);

    final int freeCrashes;
    final StartOrder startOrder;

    Cause(int freeCrashes, StartOrder startOrder) {
      this.freeCrashes = freeCrashes;
      this.startOrder = startOrder;
    }
  }

  /** Share of the sound requests that may be refused by mistake. */
  private static final double ALLOWED_REFUSED_SHARE = 0.02;

  private record Request(
      int router,
      int endpoint,
      List<PromptPartId> parts,
      RequestFingerprint fingerprint,
      boolean crashesEndpoints,
      long sentMillis,
      long firstEventMillis) {
    List<CrashSubject> subjects() {
      List<CrashSubject> subjects = new ArrayList<>(parts);
      subjects.add(fingerprint);
      return subjects;
    }
  }

  private static final class Case {
    final Random random;
    final Cause cause;
    final int routers;
    final double deadlyShare;
    final double chanceCrashesPerSecond;
    final double lossShare;
    final long deadlyFromMillis;
    final long restartMillis;
    final PromptPartId deadly = new PromptPartId("deadly");
    final RequestFingerprint deadlyRequest = new RequestFingerprint("deadly");
    final List<CrashQuarantine> quarantines = new ArrayList<>();
    final List<Request> waiting = new ArrayList<>();
    final long[] upAtMillis = new long[ENDPOINTS];
    long nowMillis;
    int requests;
    int deadlyCrashes;
    long lastFreeCrashMillis = Long.MAX_VALUE;
    int lateDeadlySends;
    int soundRequests;
    int soundRefused;

    Case(long seed, Cause cause) {
      random = new Random(seed);
      this.cause = cause;
      routers = 3 + random.nextInt(11);
      deadlyShare = 0.01 + 0.15 * random.nextDouble();
      chanceCrashesPerSecond = random.nextDouble() * 0.5;
      lossShare = 0.2 * random.nextDouble();
      deadlyFromMillis = random.nextInt(8_000);
      restartMillis = 5_000 + random.nextInt(20_000);
      for (int router = 0; router < routers; router++) {
        quarantines.add(new CrashQuarantine());
      }
    }

    long nowNanos() {
      return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }

    void play() {
      for (nowMillis = 0; nowMillis < CASE_MILLIS; nowMillis += STEP_MILLIS) {
        if (nowMillis / STEP_MILLIS == restartMillis / STEP_MILLIS) {
          restart(random.nextInt(routers));
        }
        if (random.nextDouble() < REQUESTS_PER_STEP) {
          arrive();
        }
        deliverFirstEvents();
        if (random.nextDouble() < chanceCrashesPerSecond * STEP_MILLIS / 1_000) {
          crash(random.nextInt(ENDPOINTS));
        }
        if (nowMillis % NOTICE_MILLIS == 0) {
          for (int router = 0; router < routers; router++) {
            sendNotice(router);
          }
        }
      }
    }

    /** Starts a router again; the others tell it what they know when it says that it lives. */
    void restart(int router) {
      quarantines.set(router, new CrashQuarantine());
      waiting.removeIf(request -> request.router() == router);
      for (int other = 0; other < routers; other++) {
        sendNotice(other);
      }
    }

    void arrive() {
      boolean withDeadly = nowMillis >= deadlyFromMillis && random.nextDouble() < deadlyShare;
      List<PromptPartId> parts = new ArrayList<>();
      // A few openings are used much more often than the others.
      int opening = (int) (OPENINGS * random.nextDouble() * random.nextDouble());
      if (cause != Cause.PLAIN_REQUEST) {
        parts.add(new PromptPartId("opening-" + opening));
      }
      if (withDeadly && cause == Cause.PART) {
        parts.add(deadly);
      } else if (cause != Cause.PLAIN_REQUEST && random.nextInt(4) == 0) {
        parts.add(new PromptPartId("subject-" + random.nextInt(200)));
      }
      RequestFingerprint fingerprint =
          withDeadly && cause != Cause.PART
              ? deadlyRequest
              : new RequestFingerprint("request-" + requests++);
      arrive(parts, fingerprint, withDeadly);
    }

    void arrive(List<PromptPartId> parts, RequestFingerprint fingerprint, boolean withDeadly) {
      int router = random.nextInt(routers);
      CrashQuarantine quarantine = quarantines.get(router);
      soundRequests += withDeadly ? 0 : 1;
      List<CrashSubject> subjects = new ArrayList<>(parts);
      subjects.add(fingerprint);
      List<CrashSubject> heldSubjects = quarantine.held(subjects);
      if (!heldSubjects.isEmpty()) {
        CrashSubject held = heldSubjects.get(0);
        if (router != 0 || !quarantine.trialDue(held, nowNanos())) {
          soundRefused += withDeadly ? 0 : 1;
          return;
        }
        quarantine.trialStarted(held);
        quarantine.trialEnded(held, true, nowNanos());
      }
      send(router, parts, fingerprint, withDeadly);
    }

    void send(
        int router, List<PromptPartId> parts, RequestFingerprint fingerprint, boolean withDeadly) {
      int endpoint = random.nextInt(ENDPOINTS);
      while (upAtMillis[endpoint] > nowMillis) {
        endpoint = random.nextInt(ENDPOINTS);
      }
      long firstEvent = nowMillis + 40 + random.nextInt(200);
      waiting.add(
          new Request(router, endpoint, parts, fingerprint, withDeadly, nowMillis, firstEvent));
      if (withDeadly && nowMillis - 3_000 > lastFreeCrashMillis) {
        lateDeadlySends++;
      }
    }

    void deliverFirstEvents() {
      for (Request request : new ArrayList<>(waiting)) {
        if (request.firstEventMillis() > nowMillis || !waiting.contains(request)) {
          continue;
        }
        if (request.crashesEndpoints()) {
          deadlyCrashes++;
          if (deadlyCrashes == cause.freeCrashes) {
            lastFreeCrashMillis = nowMillis;
          }
          crash(request.endpoint());
        } else {
          waiting.remove(request);
          quarantines.get(request.router()).firstEvent(request.subjects(), nowNanos());
        }
      }
    }

    void crash(int endpoint) {
      if (upAtMillis[endpoint] > nowMillis) {
        return;
      }
      CrashId crash = new CrashId(new EndpointId("e" + endpoint), upAtMillis[endpoint]);
      upAtMillis[endpoint] = nowMillis + DOWN_MILLIS;
      for (int router = 0; router < routers; router++) {
        List<CrashCandidate> candidates = new ArrayList<>();
        for (Request request : waiting) {
          if (request.endpoint() == endpoint && request.router() == router) {
            List<CrashSubject> subjects = request.subjects();
            for (int position = 0; position < subjects.size(); position++) {
              candidates.add(
                  new CrashCandidate(
                      subjects.get(position),
                      nowMillis - request.sentMillis(),
                      cause.startOrder,
                      position,
                      Optional.of(request.fingerprint())));
            }
          }
        }
        if (!candidates.isEmpty()) {
          quarantines.get(router).crashed(crash, nowNanos(), candidates, nowNanos());
          sendNotice(router);
        }
      }
      List<Request> cut =
          waiting.stream().filter(request -> request.endpoint() == endpoint).toList();
      waiting.removeAll(cut);
      for (Request request : cut) {
        if (random.nextDouble() < REPEATED_SHARE) {
          arrive(request.parts(), request.fingerprint(), request.crashesEndpoints());
        }
      }
    }

    void sendNotice(int from) {
      QuarantineNotice notice = quarantines.get(from).notice(nowNanos());
      for (int to = 0; to < routers; to++) {
        if (to != from && random.nextDouble() >= lossShare) {
          quarantines.get(to).noticeReceived(notice, nowNanos());
        }
      }
    }
  }

  // Guards against a fleet that goes on crashing, and against refusing sound requests because
  // endpoints also crash by chance.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void crashesByPartEndAndSoundRequestsPass(long seed) {
    playCases(seed, Cause.PART);
  }

  // Guards against the same for a request that its callers send again and again.
  @ParameterizedTest
  @ValueSource(longs = {4, 5, 6})
  void crashesByRequestEndAndSoundRequestsPass(long seed) {
    playCases(seed, Cause.REQUEST);
  }

  // Guards against the same where endpoints run several requests at a time.
  @ParameterizedTest
  @ValueSource(longs = {7, 8, 9})
  void crashesByPlainRequestEndAndSoundRequestsPass(long seed) {
    playCases(seed, Cause.PLAIN_REQUEST);
  }

  private static void playCases(long seed, Cause cause) {
    int crashes = 0;
    for (int number = 0; number < CASES_PER_SEED; number++) {
      long caseSeed = seed * 1_000 + number;
      Case drawn = new Case(caseSeed, cause);
      drawn.play();
      crashes += drawn.deadlyCrashes;
      String label =
          "seed %d: %d routers, share %.3f, %.2f chance crashes a second, %d crashes by a %s"
              .formatted(
                  caseSeed,
                  drawn.routers,
                  drawn.deadlyShare,
                  drawn.chanceCrashesPerSecond,
                  drawn.deadlyCrashes,
                  cause);
      assertThat(label, drawn.lateDeadlySends, lessThanOrEqualTo(ALLOWED_SENDS));
      assertThat(
          label,
          drawn.soundRefused,
          lessThanOrEqualTo((int) (ALLOWED_REFUSED_SHARE * drawn.soundRequests)));
    }
    assertThat(crashes, greaterThan(CASES_PER_SEED));
  }
}
