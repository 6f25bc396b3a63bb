package io.zinniawood.core.load;

/** Running sum of shares, from which each term is removed again. */
final class LoadSum {
  private double requests;
  private double tokenUnits;
  private double promptUnits;
  int terms;

  void add(Share share) {
    requests += share.requests();
    tokenUnits += share.tokenUnits();
    promptUnits += share.promptUnits();
    terms++;
  }

  void remove(Share share) {
    requests -= share.requests();
    tokenUnits -= share.tokenUnits();
    promptUnits -= share.promptUnits();
    terms--;
  }

  Share total() {
    return new Share(requests, tokenUnits, promptUnits);
  }
}
