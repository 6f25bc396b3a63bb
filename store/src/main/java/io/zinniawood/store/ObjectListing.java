package io.zinniawood.store;

import io.vavr.collection.Vector;

/**
 * Listing of objects.
 *
 * @param objects objects in the order of their names
 * @param completeness whether the listing is complete
 */
public record ObjectListing(Vector<ObjectVersion> objects, Completeness completeness) {
  /** Tells whether a listing has all objects. */
  public enum Completeness {
    /** The store states that no object is missing. */
    COMPLETE,
    /** Objects may be missing. */
    PARTIAL
  }
}
