package io.zinniawood.core.id;

/**
 * Identifies a request by its client account and content, so that a repeat of it by its caller is
 * recognized by every router. Does not reveal the content.
 *
 * @param value non-blank text, at most {@value IdText#MAX_CHARACTERS} characters
 */
public record RequestFingerprint(String value) implements CrashSubject {
  /** Checks the value; throws {@link IllegalArgumentException} if it is blank or too long. */
  public RequestFingerprint {
    IdText.check("RequestFingerprint", value);
  }

  @Override
  public String toString() {
    return value;
  }
}
