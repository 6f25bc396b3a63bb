package io.zinniawood.core.entry;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.configuration.ClientAccount;
import io.zinniawood.core.configuration.ClusterConfiguration;
import io.zinniawood.core.configuration.ModelDefinition;
import io.zinniawood.core.configuration.RepairPolicy;
import io.zinniawood.core.configuration.RetryPolicy;
import io.zinniawood.core.configuration.RoutingPolicy;
import io.zinniawood.core.configuration.ServiceDefinition;
import io.zinniawood.core.id.AcceleratorKind;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.id.IdempotencyKey;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.id.PoolId;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.Idempotency;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.Priority;
import io.zinniawood.core.model.ServiceCall;
import io.zinniawood.core.model.VmEntry;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.core.model.VmState;

/** Test data shared by the tests of the entry. */
final class Fixtures {
  static final long NANOS_PER_MILLI = 1_000_000;
  static final ModelId MODEL = new ModelId("kiosk");
  static final ServiceName CREDIT = new ServiceName("credit");
  static final ClientAccountId ACCOUNT = new ClientAccountId("kolikko");
  static final DataCentreId DATA_CENTRE = new DataCentreId("helsinki-a");
  static final VmId ENTRY = new VmId("entry-1");
  static final int LAYERS = 8;
  static final int TOKENS_PER_ANSWER = 6;

  private Fixtures() {}

  static ClusterConfiguration cluster(ClientAccount account, RetryPolicy retries) {
    return new ClusterConfiguration(
        HashMap.of(account.id(), account),
        HashMap.of(MODEL, new ModelDefinition(MODEL, LAYERS, 1, 64, 5_000, "v1")),
        HashMap.of(CREDIT, new ServiceDefinition(CREDIT, HashSet.of("GET"), 3_000, 60_000)),
        Vector.empty(),
        new RoutingPolicy(8, 1.25, 0, 0.5, 200),
        retries,
        new RepairPolicy(1, 1_000, 6_000));
  }

  static ClientAccount account(double rate, int burst, int concurrent) {
    return new ClientAccount(ACCOUNT, HashSet.empty(), rate, burst, concurrent, 1, Priority.NORMAL);
  }

  static RetryPolicy retryPolicy(int budgetMinimum) {
    return new RetryPolicy(4, 0.2, budgetMinimum, 20, 200, 400);
  }

  static AcceptedConfiguration accepted(long generation, ClusterConfiguration cluster) {
    return new AcceptedConfiguration(new Generation(generation), "digest-" + generation, cluster);
  }

  static AcceptedConfiguration highLimitConfiguration() {
    return accepted(1, cluster(account(1e6, 1_000_000, 1_000_000), retryPolicy(1_000)));
  }

  static Capability stageCapability(int from, int to, double tokensPerSecond) {
    return new Capability.ModelStage(
        MODEL, new LayerRange(from, to), new AcceleratorKind("l4"), tokensPerSecond, 8);
  }

  static Capability creditCapability() {
    return new Capability.PlainService(CREDIT, 8);
  }

  static NodeAddress address(EndpointId endpoint) {
    return new NodeAddress("10.0.0.1", 1_024 + Math.floorMod(endpoint.value().hashCode(), 60_000));
  }

  static VmEntry vm(String name, VmRole role, VmState state) {
    return new VmEntry(
        new VmId(name),
        role,
        state,
        DATA_CENTRE,
        new PoolId("pool"),
        address(new EndpointId(name)));
  }

  static EntryEvent.ModelRequestArrived modelRequest(String id, long deadlineNanos) {
    return modelRequest(id, id.hashCode(), deadlineNanos);
  }

  static EntryEvent.ModelRequestArrived modelRequest(
      String id, long prefixHash, long deadlineNanos) {
    return new EntryEvent.ModelRequestArrived(
        new RequestId(id),
        ACCOUNT,
        MODEL,
        Payload.ofText(id),
        prefixHash,
        10,
        64,
        Priority.NORMAL,
        deadlineNanos);
  }

  /**
   * Returns a call whose body is the text of the key, or the request id without a key. A slash and
   * the text after it are part of the body only, so that calls can share a key and differ in their
   * bodies.
   */
  static EntryEvent.ServiceRequestArrived serviceRequest(
      String id, Idempotency idempotency, Option<String> key, long deadlineNanos) {
    return new EntryEvent.ServiceRequestArrived(
        new RequestId(id),
        ACCOUNT,
        CREDIT,
        new ServiceCall("POST", "/credit", Vector.empty(), Payload.ofText(key.getOrElse(id))),
        idempotency,
        key.map(text -> new IdempotencyKey(text.replaceAll("/.*", ""))),
        Priority.NORMAL,
        deadlineNanos);
  }

  /**
   * Returns the token for the output of the last stage. The token shows whether each layer ran once
   * and in order, and whether the input was the token of the position before.
   */
  static String token(String output, int position) {
    String input = output.substring(0, output.indexOf('['));
    int layer = 0;
    for (String range : output.substring(input.length()).replace("[", "").split("]", 0)) {
      String[] bounds = range.split("-", 2);
      layer = Integer.parseInt(bounds[0]) == layer ? Integer.parseInt(bounds[1]) : -1;
    }
    boolean follows = position == 0 || input.startsWith("w" + (position - 1) + "<");
    String request = input.replaceAll(".*<|>.*", "");
    return "w" + position + "<" + request + ">" + (layer == LAYERS && follows ? "ok" : "wrong");
  }
}
