package io.zinniawood.core.path;

import io.zinniawood.core.id.AcceleratorKind;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.model.LayerRange;
import java.util.Optional;

/**
 * Endpoint and the layers that it holds or is loading.
 *
 * @param layers layers held or being loaded; empty if the endpoint has none
 */
public record EndpointLayers(
    EndpointId endpoint,
    DataCentreId dataCentre,
    AcceleratorKind accelerator,
    Optional<LayerRange> layers) {}
