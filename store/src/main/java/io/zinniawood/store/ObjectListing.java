package io.zinniawood.store;

import io.vavr.collection.Vector;

/**
 * Objects of the object store whose names start with a given prefix.
 *
 * @param objects names and versions, sorted by name
 * @param completeness whether the store confirms that no object is missing
 */
public record ObjectListing(Vector<ObjectVersion> objects, Completeness completeness) {
  /** Whether a listing contains all matching objects. */
  public enum Completeness {
    /** The store reported that the listing is complete. */
    COMPLETE,
    /** Objects may be missing. */
    PARTIAL
  }
}
