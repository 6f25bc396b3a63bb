package io.zinniawood.standin.platform;

/**
 * An entry of the VM list in its JSON form.
 *
 * @param vm id of the VM
 * @param role {@code ENTRY} or {@code ENDPOINT}
 * @param state {@code LIVE} or {@code LEAVING}
 * @param dataCentre name of the data centre
 * @param pool name of the pool
 * @param host IP address
 * @param port TCP port of the zinniawood process on the VM
 */
public record VmRecord(
    String vm, String role, String state, String dataCentre, String pool, String host, int port) {}
