package io.zinniawood.wire;

import io.vavr.control.Option;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.model.AgentIdentity;
import io.zinniawood.core.model.VmRole;

/**
 * Identity that a process presents in the handshake.
 *
 * @param nodeId VM id or endpoint id
 * @param role role of the VM
 * @param incarnation number that identifies one run of the process
 * @param dataCentre data centre in which the process runs
 * @param agent identity of the agent, none for an entry
 */
public record WirePeer(
    String nodeId,
    VmRole role,
    Incarnation incarnation,
    DataCentreId dataCentre,
    Option<AgentIdentity> agent) {}
