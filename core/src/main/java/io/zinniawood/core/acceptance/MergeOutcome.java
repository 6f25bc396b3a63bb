package io.zinniawood.core.acceptance;

import io.vavr.collection.Vector;
import io.zinniawood.core.configuration.ClusterConfiguration;

/** Result of merging the files of the folder. */
public sealed interface MergeOutcome {
  /**
   * The files form a valid configuration.
   *
   * @param cluster merged configuration
   * @param digest SHA-256 of the merged text in hexadecimal
   */
  record Valid(ClusterConfiguration cluster, String digest) implements MergeOutcome {}

  /**
   * The files have faults.
   *
   * @param faults one line for each fault: file, line, key, value found and value expected
   */
  record Invalid(Vector<String> faults) implements MergeOutcome {}
}
