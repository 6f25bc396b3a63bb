package io.zinniawood.standin.platform;

/**
 * One VM of the VM list, as in its JSON form.
 *
 * @param vm id of the VM
 * @param role {@code ENTRY} or {@code ENDPOINT}
 * @param state {@code LIVE} or {@code LEAVING}
 * @param dataCentre data centre
 * @param pool pool
 * @param host IP number
 * @param port TCP port of the VM's process of the system
 */
public record VmRecord(
    String vm, String role, String state, String dataCentre, String pool, String host, int port) {}
