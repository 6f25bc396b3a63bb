package io.zinniawood.standin.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class ReferenceModelTest {
  private static final String SEED = "20261204";
  private static final ModelParameters MODEL = new ModelParameters("kiosk", "1", 6, 0);

  private static long run(LayerStack stack, List<Integer> positions) {
    long activation = 0;
    for (int position : positions) {
      activation = stack.run(position, Hashing.mix(position, 77));
    }
    return activation;
  }

  // Guards against activations that depend on how the layers are split.
  @Property(seed = SEED)
  void anySplitGivesTheSameActivations(
      @ForAll @IntRange(min = 1, max = 5) int split,
      @ForAll @Size(min = 1, max = 8) List<Long> values) {
    LayerStack whole = new LayerStack(MODEL, 0, 6);
    LayerStack low = new LayerStack(MODEL, 0, split);
    LayerStack high = new LayerStack(MODEL, split, 6);
    for (int position = 0; position < values.size(); position++) {
      long expected = whole.run(position, values.get(position));
      assertThat(high.run(position, low.run(position, values.get(position))), equalTo(expected));
    }
  }

  // Guards against a model that hides a wrong sequence of positions behind the right answer.
  @Property(seed = SEED)
  void missingRepeatedOrSwappedPositionsChangeTheActivation(
      @ForAll @IntRange(min = 0, max = 3) int at) {
    long expected = run(new LayerStack(MODEL, 0, 6), List.of(0, 1, 2, 3, 4, 5));
    List<Integer> missing = new ArrayList<>(List.of(0, 1, 2, 3, 4, 5));
    missing.remove(at);
    assertThat(run(new LayerStack(MODEL, 0, 6), missing), not(equalTo(expected)));
    List<Integer> repeated = new ArrayList<>(List.of(0, 1, 2, 3, 4, 5));
    repeated.add(at, at);
    assertThat(run(new LayerStack(MODEL, 0, 6), repeated), not(equalTo(expected)));
    List<Integer> swapped = new ArrayList<>(List.of(0, 1, 2, 3, 4, 5));
    Collections.swap(swapped, at, at + 1);
    assertThat(run(new LayerStack(MODEL, 0, 6), swapped), not(equalTo(expected)));
  }

  // Guards against equal answers for different prompts, models or versions.
  @Property(seed = SEED, tries = 50)
  void answersDependOnPromptModelAndVersion(@ForAll @IntRange(max = 10_000) int number) {
    String prompt = "prompt " + number;
    ReferenceModel.Answer answer = new ReferenceModel(MODEL).answer(prompt, 40);
    assertThat(answer.finish(), is(ReferenceModel.Finish.LENGTH));
    assertThat(answer.tokens().size(), is(40));
    assertThat(new ReferenceModel(MODEL).answer(prompt, 40), equalTo(answer));
    for (ModelParameters other :
        List.of(new ModelParameters("kiosk", "2", 6, 0), new ModelParameters("bins", "1", 6, 0))) {
      assertThat(new ReferenceModel(other).answer(prompt, 40).text(), not(equalTo(answer.text())));
    }
    assertThat(
        new ReferenceModel(MODEL).answer(prompt + " ", 40).text(), not(equalTo(answer.text())));
  }
}
