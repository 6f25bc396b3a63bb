package io.zinniawood.wire.internal;

/** Converts between the enums of the protocol and those of the model by constant name. */
final class EnumCodec {
  private static final String UNSPECIFIED = "UNSPECIFIED";

  private EnumCodec() {}

  /** Returns the constant of the target type with the same name. */
  static <T extends Enum<T>> T encode(Class<T> target, Enum<?> value) {
    return Enum.valueOf(target, value.name());
  }

  /**
   * Returns the constant of the target type with the same name.
   *
   * @throws DecodeException if the value is not set or unknown to this version
   */
  static <T extends Enum<T>> T decode(Class<T> target, Enum<?> value) {
    String name = value.name();
    if (name.equals(UNSPECIFIED)) {
      throw new DecodeException("%s is not set".formatted(target.getSimpleName()));
    }
    try {
      return Enum.valueOf(target, name);
    } catch (IllegalArgumentException unknown) {
      throw new DecodeException(
          "%s has the unknown value %s".formatted(target.getSimpleName(), name));
    }
  }
}
