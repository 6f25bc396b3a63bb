package io.zinniawood.core.id;

/**
 * Version of the platform's store, or of one of its rows. A store that was restored from a copy
 * gives out the same numbers again, so a number is comparable only within its era.
 *
 * @param number increases with each transaction of the era; 0 for a row that does not exist
 */
public record StoreVersion(StoreEra era, long number) {
  /** Returns whether both versions are of the same era, so that they can be compared. */
  public boolean sameEra(StoreVersion other) {
    return era.equals(other.era);
  }

  /**
   * Returns whether this version is newer than another one of the same era.
   *
   * @throws IllegalArgumentException if the other version is of another era
   */
  public boolean isAfter(StoreVersion other) {
    if (!sameEra(other)) {
      throw new IllegalArgumentException("versions of two eras: %s, %s".formatted(this, other));
    }
    return number > other.number;
  }

  /** Returns another version of the same era. */
  public StoreVersion withNumber(long other) {
    return new StoreVersion(era, other);
  }

  @Override
  public String toString() {
    return era + "/" + number;
  }
}
