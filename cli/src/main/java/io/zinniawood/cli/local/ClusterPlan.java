package io.zinniawood.cli.local;

import java.util.List;
import java.util.Map;

/**
 * Plan of a local cluster.
 *
 * @param entryDataCentres data centre of each entry, in the order of the entries
 * @param endpoints endpoints with their stand-ins
 * @param files files of the configuration folder by name
 * @param vmListDelayMillis time by which the platform's VM list lags, in milliseconds
 */
public record ClusterPlan(
    List<String> entryDataCentres,
    List<EndpointPlan> endpoints,
    Map<String, String> files,
    long vmListDelayMillis) {
  /** Copies the collections. */
  public ClusterPlan {
    entryDataCentres = List.copyOf(entryDataCentres);
    endpoints = List.copyOf(endpoints);
    files = Map.copyOf(files);
  }
}
