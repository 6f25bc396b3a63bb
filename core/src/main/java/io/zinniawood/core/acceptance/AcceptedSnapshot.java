package io.zinniawood.core.acceptance;

import io.vavr.collection.Vector;
import io.zinniawood.core.configuration.AcceptedConfiguration;

/**
 * Content of a snapshot object, which is never overwritten: an accepted configuration and the files
 * that it was merged from.
 *
 * @param configuration accepted configuration
 * @param files names and versions, in the order of the names
 */
public record AcceptedSnapshot(AcceptedConfiguration configuration, Vector<FileVersion> files) {}
