package io.zinniawood.dist;

import io.zinniawood.wire.generated.WireProto;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;

/**
 * Tests the listeners for peers of an entry and of an agent beside connections that use up their
 * memory.
 */
final class PeerCrowdTest {
  private static final RoleProcess.Limits ENTRY_LIMITS =
      new RoleProcess.Limits(CrowdCheck.SMALL_ENTRY_OPTIONS, Integer.MAX_VALUE);

  /** Bounds of a small entry, and the descriptors of its VM. */
  private static final CrowdCheck.Bounds ENTRY_BOUNDS =
      new CrowdCheck.Bounds(CrowdCheck.SMALL_ENTRY_BYTES, 4_100);

  /** Memory of an agent at the design size, and the descriptors of its VM. */
  private static final CrowdCheck.Bounds AGENT_BOUNDS = new CrowdCheck.Bounds(128_000_000, 4_096);

  private static final int CONNECTIONS = 60;
  private static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;
  private static final String PART_OF_A_FRAME = "x".repeat(64 * 1024);

  private ProcessCluster cluster;
  private ProcessCluster.Entry entry;
  private ProcessCluster.Endpoint endpoint;
  private CrowdCheck entryCheck;
  private CrowdCheck agentCheck;

  @BeforeEach
  void startProcesses(TestInfo test) throws Exception {
    cluster = new ProcessCluster("peer-crowd-" + test.getTestMethod().get().getName());
    cluster.addService("credit-1");
    cluster.addEntry("entry-1", ENTRY_LIMITS);
    entry = cluster.entry("entry-1");
    endpoint = cluster.endpoint("credit-1");
    entryCheck = new CrowdCheck(entry.process(), ENTRY_BOUNDS, this::ordinaryAnswered);
    agentCheck = new CrowdCheck(endpoint.agent(), AGENT_BOUNDS, this::ordinaryAnswered);
    entryCheck.awaitOrdinaryAnswer();
  }

  @AfterEach
  void stop() throws IOException {
    entryCheck.close();
    agentCheck.close();
    cluster.close();
  }

  private boolean ordinaryAnswered() {
    return new Caller().get(entry.callersUri(), "/services/credit/ledger").status() == 200;
  }

  private static String length(int bytes) {
    byte[] prefix = ByteBuffer.allocate(Integer.BYTES).putInt(bytes).array();
    return new String(prefix, StandardCharsets.ISO_8859_1);
  }

  private static String frame(WireProto.Envelope envelope) {
    return length(envelope.getSerializedSize())
        + new String(envelope.toByteArray(), StandardCharsets.ISO_8859_1);
  }

  private static String handshake() {
    return frame(
        WireProto.Envelope.newBuilder()
            .setHello(
                WireProto.Hello.newBuilder()
                    .setProtocolVersion(1)
                    .setNodeId("crowd")
                    .setRole(WireProto.VmRole.Kind.ENTRY)
                    .setIncarnation(1)
                    .setDataCentre("tampere"))
            .build());
  }

  private static CallerCrowd.Bytes frameWithoutEnd(String opening) {
    return new CallerCrowd.Bytes(
        opening + length(MAX_FRAME_BYTES),
        PART_OF_A_FRAME,
        MAX_FRAME_BYTES / PART_OF_A_FRAME.length() - 1,
        0);
  }

  private void entryWithstands(CallerCrowd.Bytes bytes) throws Exception {
    entryCheck.withstands(entry.peers(), CONNECTIONS, bytes);
  }

  private void agentWithstands(CallerCrowd.Bytes bytes) throws Exception {
    agentCheck.withstands(endpoint.peers(), CONNECTIONS, bytes);
  }

  // Guards against large frames that are collected for connections without a handshake.
  @Test
  void entryWithstandsFramesBeforeTheHandshake() throws Exception {
    entryWithstands(frameWithoutEnd(""));
  }

  // Guards against frames within the limit of one connection that together exceed the memory.
  @Test
  void entryWithstandsFramesWithoutEnd() throws Exception {
    entryWithstands(frameWithoutEnd(handshake()));
  }

  // Guards against large frames that are collected for connections without a handshake.
  @Test
  void agentWithstandsFramesBeforeTheHandshake() throws Exception {
    agentWithstands(frameWithoutEnd(""));
  }

  // Guards against frames within the limit of one connection that together exceed the memory.
  @Test
  void agentWithstandsFramesWithoutEnd() throws Exception {
    agentWithstands(frameWithoutEnd(handshake()));
  }

  // Guards against lengths that are reserved before any byte of the frame has arrived.
  @Test
  void agentWithstandsLengthsOutOfRange() throws Exception {
    agentWithstands(new CallerCrowd.Bytes(handshake(), length(Integer.MAX_VALUE), 1_000, 0));
  }

  // Guards against acknowledgements that collect for a peer which does not read.
  @Test
  void agentWithstandsProbesThatAreNotRead() throws Exception {
    String probe =
        frame(
            WireProto.Envelope.newBuilder()
                .setProbe(WireProto.Probe.newBuilder().setSequence(1))
                .build());
    agentWithstands(new CallerCrowd.Bytes(handshake(), probe.repeat(1_000), 1_000, 0));
  }
}
