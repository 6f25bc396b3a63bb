/**
 * Process shell of the relay: turns connections of callers, endpoints and the platform into events
 * of {@code core.relay} and carries out its effects. Everything runs on one event-loop thread, so
 * that a small VM spends nothing on thread changes. HTTP is Netty's own codec: Jooby and OkHttp
 * hide what the relay needs (late extra answers, answers without a length, half streams) or cost a
 * thread a stream.
 */
package io.zinniawood.relay;
