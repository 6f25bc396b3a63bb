package io.zinniawood.core.id;

/**
 * Number of times that the platform's store came back from a copy of its state. A version of the
 * store has a meaning only within one era.
 *
 * @param value rises with each restore; at least 0
 */
public record StoreEra(long value) {
  /** Era of a store that names none. */
  public static final StoreEra UNNAMED = new StoreEra(0);

  /** Returns whether this era began after another one. */
  public boolean isLaterThan(StoreEra other) {
    return value > other.value;
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
