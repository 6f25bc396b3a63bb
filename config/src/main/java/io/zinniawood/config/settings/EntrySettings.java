package io.zinniawood.config.settings;

import io.vavr.control.Option;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.NodeAddress;
import java.net.URI;

/**
 * Settings of an entry process.
 *
 * @param vm id of the VM
 * @param dataCentre data centre of the VM
 * @param callers listen address of the HTTP port for callers
 * @param admin listen address of the HTTP port for operators
 * @param peers listen address of the peer protocol
 * @param platform base address of the platform
 * @param maxBodyBytes largest request body in bytes
 * @param drainGraceMillis time for which a draining entry still accepts requests, in milliseconds
 * @param gracePeriodMillis time from the termination request until the process is killed, in
 *     milliseconds
 * @param pollMillis interval between reads of the configuration folder and the VM list, in
 *     milliseconds
 * @param tls certificates for peer connections, none for plain TCP
 */
public record EntrySettings(
    VmId vm,
    DataCentreId dataCentre,
    NodeAddress callers,
    NodeAddress admin,
    NodeAddress peers,
    URI platform,
    int maxBodyBytes,
    long drainGraceMillis,
    long gracePeriodMillis,
    long pollMillis,
    Option<TlsSettings> tls) {}
