package io.zinniawood.core.acceptance;

import io.vavr.collection.HashMap;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.configuration.ClusterConfiguration;
import io.zinniawood.core.configuration.RepairPolicy;
import io.zinniawood.core.configuration.RetryPolicy;
import io.zinniawood.core.configuration.RoutingPolicy;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.PackedStoreVersion;
import io.zinniawood.core.runtime.Step;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Simulates several entries that share a {@link FakeStore}, in virtual time, with store faults and
 * random interleavings of calls.
 */
final class AcceptanceSimulation {
  static final ClusterConfiguration CLUSTER =
      new ClusterConfiguration(
          HashMap.empty(),
          HashMap.empty(),
          HashMap.empty(),
          Vector.empty(),
          new RoutingPolicy(1, 1, 1, 1, 1),
          new RetryPolicy(1, 1, 1, 1, 1, 1),
          new RepairPolicy(1, 1, 1));

  /** How the store handles one call. */
  enum Fault {
    NONE,
    UNAVAILABLE,
    RESPONSE_LOST,
    DELAYED,
    NO_RESPONSE,
    PARTIAL_LISTING,
    STALE_LISTING
  }

  record Operation(Node node, long incarnation, AcceptanceEffect effect) {}

  /** Entry with its reducer state, its timers and what it published. */
  static final class Node {
    final VmId id;
    final Map<AcceptanceTimer, Long> timers = new EnumMap<>(AcceptanceTimer.class);
    final List<AcceptedConfiguration> published = new ArrayList<>();
    final List<AcceptanceNotice> notices = new ArrayList<>();
    AcceptanceState state;
    long incarnation;
    long era;
    SortedMap<String, FolderFile> staleFolder = TreeMap.empty();
    int staleListings;

    Node(String id) {
      this.id = new VmId(id);
    }

    String digest() {
      return state.inForce().map(AcceptedConfiguration::digest).getOrElse("none");
    }
  }

  final FakeStore store = new FakeStore();
  final List<Node> nodes = new ArrayList<>();
  final List<Operation> pending = new ArrayList<>();
  final List<Operation> delayed = new ArrayList<>();
  final Map<Long, String> digestByGeneration = new java.util.HashMap<>();
  private final Random random;
  private final AcceptanceReducer reducer = new AcceptanceReducer();
  private long nowNanos;

  /** Chooses the fault of each call. */
  Function<AcceptanceEffect, Fault> faults = effect -> Fault.NONE;

  AcceptanceSimulation(long seed, int entries) {
    random = new Random(seed);
    for (int i = 0; i < entries; i++) {
      nodes.add(new Node("entry-" + i));
    }
    nodes.forEach(this::restartPolling);
  }

  void restartPolling(Node node) {
    reset(node);
    deliver(node, new AcceptanceEvent.PollModeChanged(PollMode.POLLING));
  }

  /** Resets an entry to its initial state; responses to its earlier calls are dropped. */
  void reset(Node node) {
    node.incarnation++;
    node.timers.clear();
    node.published.clear();
    node.state = AcceptanceState.initial(node.id, random.nextLong());
  }

  void deliver(Node node, AcceptanceEvent event) {
    Step<AcceptanceState, AcceptanceEffect> step = reducer.reduce(node.state, nowNanos, event);
    node.state = step.state();
    for (AcceptanceEffect effect : step.effects()) {
      if (effect instanceof AcceptanceEffect.StartTimer start) {
        node.timers.put(start.timer(), nowNanos + start.delayNanos());
      } else if (effect instanceof AcceptanceEffect.CancelTimer cancel) {
        node.timers.remove(cancel.timer());
      } else if (effect instanceof AcceptanceEffect.Publish publish) {
        publish(node, publish.configuration());
      } else if (effect instanceof AcceptanceEffect.Notify notify) {
        node.notices.add(notify.notice());
      } else {
        pending.add(new Operation(node, node.incarnation, effect));
      }
    }
  }

  private void publish(Node node, AcceptedConfiguration configuration) {
    long generation = configuration.generation().value();
    if (!node.published.isEmpty()
        && generation <= node.published.get(node.published.size() - 1).generation().value()) {
      throw new AssertionError(
          "%s published generation %d after the same or a higher one"
              .formatted(node.id, generation));
    }
    String known = digestByGeneration.putIfAbsent(generation, configuration.digest());
    if (known != null && !known.equals(configuration.digest())) {
      throw new AssertionError(
          "generation %d was published with two different digests".formatted(generation));
    }
    node.published.add(configuration);
  }

  /** Executes one pending or delayed call, or fires the earliest timer. */
  void step() {
    if (!delayed.isEmpty() && random.nextInt(4) == 0) {
      execute(delayed.remove(random.nextInt(delayed.size())).effect());
    } else if (!pending.isEmpty() && random.nextInt(50) > 0) {
      perform(pending.remove(random.nextInt(pending.size())));
    } else {
      fireEarliestTimer();
    }
  }

  void run(int steps) {
    for (int i = 0; i < steps; i++) {
      step();
    }
  }

  /** Runs without faults for enough steps that every entry polls several times. */
  void runWithoutFaults() {
    faults = effect -> Fault.NONE;
    nodes.forEach(node -> node.staleListings = 0);
    run(600 * nodes.size());
  }

  /** Runs until the first entry meets the condition; fails after 1,000 steps. */
  void runUntil(Predicate<Node> condition) {
    for (int i = 0; i < 1000 && !condition.test(nodes.get(0)); i++) {
      step();
    }
    if (!condition.test(nodes.get(0))) {
      throw new AssertionError(
          "condition not met after 1000 steps; digest in force: " + nodes.get(0).digest());
    }
  }

  private void fireEarliestTimer() {
    Node earliest = null;
    AcceptanceTimer timer = AcceptanceTimer.POLL;
    long atNanos = Long.MAX_VALUE;
    for (Node node : nodes) {
      for (Map.Entry<AcceptanceTimer, Long> entry : node.timers.entrySet()) {
        if (entry.getValue() < atNanos) {
          earliest = node;
          timer = entry.getKey();
          atNanos = entry.getValue();
        }
      }
    }
    if (earliest != null) {
      nowNanos = Math.max(nowNanos, atNanos);
      earliest.timers.remove(timer);
      deliver(earliest, new AcceptanceEvent.TimerFired(timer));
    }
  }

  private void perform(Operation operation) {
    AcceptanceEffect effect = operation.effect();
    Fault chosen =
        effect instanceof AcceptanceEffect.MergeFiles ? Fault.NONE : faults.apply(effect);
    if (effect instanceof AcceptanceEffect.WriteRow write
        && PackedStoreVersion.era(write.expectedVersion()) < operation.node().era) {
      chosen = Fault.UNAVAILABLE;
    }
    boolean stale = chosen == Fault.NONE && operation.node().staleListings > 0;
    Fault fault = stale ? Fault.STALE_LISTING : chosen;
    Option<AcceptanceEvent> response =
        switch (fault) {
          case NONE -> execute(effect);
          case UNAVAILABLE -> failure(operation, StoreFailure.Kind.UNAVAILABLE);
          case RESPONSE_LOST -> {
            execute(effect);
            yield failure(operation, StoreFailure.Kind.RESPONSE_LOST);
          }
          case DELAYED -> {
            delayed.add(operation);
            yield failure(operation, StoreFailure.Kind.RESPONSE_LOST);
          }
          case NO_RESPONSE -> {
            execute(effect);
            yield Option.none();
          }
          case PARTIAL_LISTING -> listingOf(effect, store.folder().drop(1), fault);
          case STALE_LISTING -> staleListing(operation);
        };
    if (fault == Fault.NONE && !(effect instanceof AcceptanceEffect.MergeFiles)) {
      operation.node().era = store.era();
    }
    if (operation.incarnation() == operation.node().incarnation) {
      response.forEach(event -> deliver(operation.node(), event));
    }
  }

  private Option<AcceptanceEvent> failure(Operation operation, StoreFailure.Kind kind) {
    return operation.effect() instanceof AcceptanceEffect.DeleteSnapshot
        ? Option.none()
        : Option.of(
            new AcceptanceEvent.StoreFailed(
                operation.node().state.round(), new StoreFailure(kind, "fault")));
  }

  /** Returns the same stale folder for several listings, as a cache in front of the store would. */
  private Option<AcceptanceEvent> staleListing(Operation operation) {
    Node node = operation.node();
    if (!(operation.effect() instanceof AcceptanceEffect.ListFolder)) {
      return execute(operation.effect());
    }
    if (node.staleListings == 0) {
      node.staleListings = 1 + random.nextInt(4);
      node.staleFolder = store.folderBefore(1 + random.nextInt(5));
    }
    node.staleListings--;
    return listingOf(operation.effect(), node.staleFolder, Fault.STALE_LISTING);
  }

  private Option<AcceptanceEvent> listingOf(
      AcceptanceEffect effect, SortedMap<String, FolderFile> files, Fault fault) {
    if (!(effect instanceof AcceptanceEffect.ListFolder list)) {
      return execute(effect);
    }
    return Option.of(
        new AcceptanceEvent.FolderListed(
            list.round(),
            fault == Fault.PARTIAL_LISTING
                ? AcceptanceEvent.Completeness.PARTIAL
                : AcceptanceEvent.Completeness.COMPLETE,
            files.values().toVector().map(f -> new FileVersion(f.name(), f.version()))));
  }

  /** Executes a call on the store and returns its response. */
  private Option<AcceptanceEvent> execute(AcceptanceEffect effect) {
    if (effect instanceof AcceptanceEffect.ReadRow read) {
      return Option.of(new AcceptanceEvent.RowRead(read.round(), store.rowVersion(), store.row()));
    } else if (effect instanceof AcceptanceEffect.ReadSnapshot read) {
      return Option.of(
          new AcceptanceEvent.SnapshotRead(read.round(), store.snapshot(read.objectName())));
    } else if (effect instanceof AcceptanceEffect.ListFolder) {
      return listingOf(effect, store.folder(), Fault.NONE);
    } else if (effect instanceof AcceptanceEffect.ReadFile read) {
      return Option.of(
          new AcceptanceEvent.FileRead(read.round(), read.name(), store.folder().get(read.name())));
    } else if (effect instanceof AcceptanceEffect.MergeFiles merge) {
      return Option.of(new AcceptanceEvent.MergeFinished(merge.round(), merge(merge.files())));
    } else if (effect instanceof AcceptanceEffect.WriteSnapshot write) {
      store.write(write.objectName(), write.snapshot());
      return Option.of(new AcceptanceEvent.SnapshotWritten(write.round()));
    } else if (effect instanceof AcceptanceEffect.WriteRow write) {
      Option<Long> version = store.compareAndSet(write.expectedVersion(), write.row());
      if (version.exists(
          v -> PackedStoreVersion.era(v) != PackedStoreVersion.era(write.expectedVersion()))) {
        return Option.of(
            new AcceptanceEvent.StoreFailed(
                write.round(),
                new StoreFailure(StoreFailure.Kind.RESPONSE_LOST, "written in another era")));
      }
      return Option.of(
          version.isDefined()
              ? new AcceptanceEvent.RowWritten(write.round(), version.get())
              : new AcceptanceEvent.RowConflicted(write.round(), store.row()));
    } else if (effect instanceof AcceptanceEffect.DeleteSnapshot delete) {
      store.delete(delete.objectName());
    }
    return Option.none();
  }

  /** Concatenates the files; a file with the text {@code bad} is invalid. */
  static MergeOutcome merge(Vector<FolderFile> files) {
    Vector<FolderFile> bad = files.filter(file -> file.text().equals("bad"));
    return bad.isEmpty()
        ? new MergeOutcome.Valid(CLUSTER, mergedText(files))
        : new MergeOutcome.Invalid(bad.map(file -> file.name() + ":1:1: found bad"));
  }

  private static String mergedText(Vector<FolderFile> files) {
    return files.sortBy(FolderFile::name).map(FolderFile::text).mkString(";");
  }
}
