package io.zinniawood.core.route;

import io.zinniawood.core.id.AcceleratorKind;

/**
 * Speed and memory of an accelerator kind.
 *
 * @param memoryMegabytes memory for layers and requests in megabytes
 * @param stepTimeFactor time of a token step relative to the base accelerator
 * @param prefillTimeFactor time to read prompt tokens relative to the base accelerator
 */
public record AcceleratorProfile(
    AcceleratorKind kind,
    double memoryMegabytes,
    double stepTimeFactor,
    double prefillTimeFactor) {}
