package io.zinniawood.core.acceptance;

import io.vavr.collection.Vector;
import io.zinniawood.core.configuration.AcceptedConfiguration;

/**
 * Content of a snapshot object, which is never overwritten: an accepted configuration, the folder
 * that it stands for and the files that it was merged from.
 *
 * @param configuration accepted configuration
 * @param files names and versions in the folder, in the order of the names
 * @param mergedFiles files with their texts, in the order of the names; differ from {@code files}
 *     where the store lost a text; empty if unknown
 */
public record AcceptedSnapshot(
    AcceptedConfiguration configuration,
    Vector<FileVersion> files,
    Vector<FolderFile> mergedFiles) {}
