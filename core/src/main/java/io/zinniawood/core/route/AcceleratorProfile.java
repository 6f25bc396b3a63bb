package io.zinniawood.core.route;

import io.zinniawood.core.id.AcceleratorKind;

/**
 * Speed and memory of one kind of accelerator.
 *
 * @param kind the kind
 * @param memoryMegabytes memory for layers and requests, in megabytes
 * @param stepTimeFactor time of a token step against the engine's base
 * @param prefillTimeFactor time to read prompt tokens against the engine's base
 */
public record AcceleratorProfile(
    AcceleratorKind kind,
    double memoryMegabytes,
    double stepTimeFactor,
    double prefillTimeFactor) {}
