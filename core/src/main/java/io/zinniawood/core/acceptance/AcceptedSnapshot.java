package io.zinniawood.core.acceptance;

import io.vavr.collection.Vector;
import io.zinniawood.core.configuration.AcceptedConfiguration;

/**
 * Immutable object that holds an accepted configuration and the files that it was merged from.
 *
 * @param configuration the configuration
 * @param files files in the order of their names
 */
public record AcceptedSnapshot(AcceptedConfiguration configuration, Vector<FileVersion> files) {}
