package io.zinniawood.config.settings;

import io.vavr.control.Option;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.NodeAddress;
import java.net.URI;

/**
 * Settings of an entry.
 *
 * @param vm id of the VM
 * @param dataCentre data centre of the VM
 * @param callers address of the callers' HTTP port
 * @param admin address of the operators' HTTP port
 * @param peers address of the own-protocol port
 * @param platform base address of the platform
 * @param maxBodyBytes largest request body in bytes
 * @param drainGraceMillis time for which a draining entry still takes requests, in milliseconds
 * @param pollMillis interval of reading the configuration folder and the VM list, in milliseconds
 * @param tls certificates, none for plain TCP
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
    long pollMillis,
    Option<TlsSettings> tls) {}
