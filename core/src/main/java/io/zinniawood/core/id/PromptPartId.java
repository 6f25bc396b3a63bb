package io.zinniawood.core.id;

/**
 * Identifies a part of a prompt; requests whose prompts contain the same text share its id.
 *
 * @param value non-blank text, at most {@value IdText#MAX_CHARACTERS} characters
 */
public record PromptPartId(String value) implements CrashSubject {
  /** Checks the value; throws {@link IllegalArgumentException} if it is blank or too long. */
  public PromptPartId {
    IdText.check("PromptPartId", value);
  }

  @Override
  public String toString() {
    return value;
  }
}
