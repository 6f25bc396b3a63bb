/**
 * I/O layer of the relay: converts network input from callers, endpoints and the platform into
 * events of {@code core.relay} and carries out its effects. All work runs on one event-loop thread
 * to avoid context switches on small VMs. HTTP uses Netty's codec directly, as Jooby and OkHttp
 * hide details that the relay needs (late extra answers, answers without a length, truncated
 * streams) or need one thread per stream.
 */
package io.zinniawood.relay;
