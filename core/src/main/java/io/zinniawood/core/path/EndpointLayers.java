package io.zinniawood.core.path;

import io.zinniawood.core.id.AcceleratorKind;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.model.LayerRange;
import java.util.Optional;

/**
 * Endpoint with the layers that it holds or is about to hold.
 *
 * @param endpoint the endpoint
 * @param dataCentre its data centre
 * @param accelerator its accelerator
 * @param layers layers that it holds or loads; none if it is empty
 */
public record EndpointLayers(
    EndpointId endpoint,
    DataCentreId dataCentre,
    AcceleratorKind accelerator,
    Optional<LayerRange> layers) {}
