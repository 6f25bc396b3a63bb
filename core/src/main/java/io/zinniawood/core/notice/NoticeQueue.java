package io.zinniawood.core.notice;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * Subjects that are told to other processes in turn, as many in a message as fit into it. Not
 * thread-safe.
 *
 * @param <T> type of the subjects
 */
public final class NoticeQueue<T> {
  private final Deque<T> subjects = new ArrayDeque<>();
  private final int maxCharacters;
  private final ToIntFunction<T> characters;

  /**
   * Creates an empty queue.
   *
   * @param maxCharacters maximum number of characters of the subjects in one message
   * @param characters number of characters of a subject
   */
  public NoticeQueue(int maxCharacters, ToIntFunction<T> characters) {
    this.maxCharacters = maxCharacters;
    this.characters = characters;
  }

  /** Adds a subject that is told next. */
  public void addFirst(T subject) {
    subjects.addFirst(subject);
  }

  /** Removes the subjects that a predicate accepts. */
  public void removeIf(Predicate<T> obsolete) {
    subjects.removeIf(obsolete);
  }

  /**
   * Returns the subjects for the next message. Repeated calls return all subjects in turn.
   *
   * @param relevant whether other processes need a subject at present
   */
  public List<T> next(Predicate<T> relevant) {
    List<T> told = new ArrayList<>();
    List<T> skipped = new ArrayList<>();
    int freeCharacters = maxCharacters;
    while (!subjects.isEmpty()) {
      T next = subjects.peekFirst();
      if (relevant.test(next)) {
        freeCharacters -= characters.applyAsInt(next);
        if (freeCharacters < 0) {
          break;
        }
        told.add(next);
      } else {
        skipped.add(next);
      }
      subjects.removeFirst();
    }
    subjects.addAll(skipped);
    subjects.addAll(told);
    return told;
  }
}
