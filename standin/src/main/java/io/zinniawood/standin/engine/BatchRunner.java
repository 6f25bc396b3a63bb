package io.zinniawood.standin.engine;

import io.zinniawood.standin.engine.BatchScheduler.ScheduledStep;
import io.zinniawood.standin.engine.RunMessages.OutputBody;
import io.zinniawood.standin.engine.RunMessages.StepBody;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;

/** Schedules the steps of a run request and collects their outputs. */
final class BatchRunner {
  private final SessionStates states;
  private final BatchScheduler scheduler;
  private final PrefixCache cache;
  private final FaultState faults;
  private final LongAdder finishedSteps = new LongAdder();

  BatchRunner(
      SessionStates states, BatchScheduler scheduler, PrefixCache cache, FaultState faults) {
    this.states = states;
    this.scheduler = scheduler;
    this.cache = cache;
    this.faults = faults;
  }

  /** Runs the steps and delivers their outputs in the order of the steps. */
  void run(List<StepBody> steps, Consumer<List<OutputBody>> delivery) {
    OutputBody[] outputs = new OutputBody[steps.size()];
    AtomicInteger remaining = new AtomicInteger(outputs.length);
    List<ScheduledStep> scheduled = new ArrayList<>();
    for (int i = 0; i < outputs.length; i++) {
      int index = i;
      scheduled.add(
          toScheduledStep(
              steps.get(i),
              output -> {
                outputs[index] = output;
                if (remaining.decrementAndGet() == 0) {
                  delivery.accept(Arrays.asList(outputs));
                }
              }));
    }
    if (scheduled.isEmpty()) {
      delivery.accept(List.of());
    }
    scheduler.submit(scheduled);
  }

  long finishedSteps() {
    return finishedSteps.sum();
  }

  private ScheduledStep toScheduledStep(StepBody step, Consumer<OutputBody> delivery) {
    StepInput input =
        states.loadedLayers().includesFirstLayer()
            ? StepInput.ofText(step.position(), step.input())
            : StepInput.ofActivation(step.input());
    int prefillTokens = 0;
    if (step.position() == 0) {
      int cached = cache.storeAndCountHits(input.prompt().blocks(), System.nanoTime());
      int cachedTokens = cached * PromptBlocks.BLOCK_TOKENS;
      prefillTokens = Math.max(1, input.prompt().tokens() - cachedTokens);
    }
    return new ScheduledStep(
        step.session(),
        step.priority().rank(),
        prefillTokens,
        () -> delivery.accept(execute(step, input)),
        () ->
            delivery.accept(OutputBody.failed(step, "the session was closed before the step ran")));
  }

  private OutputBody execute(StepBody step, StepInput input) {
    if (faults.consumeStepFailure()) {
      return OutputBody.failed(step, "the step failed because of the fault \"failNextSteps\"");
    }
    SessionStates.LoadedLayers loaded = states.loadedLayers();
    Optional<Long> activation = states.run(step.session(), step.position(), input.value());
    if (activation.isEmpty()) {
      return OutputBody.failed(
          step,
          step.position() == 0
              ? "the engine has reached its limit of sessions"
              : "the session has no state on this engine");
    }
    finishedSteps.increment();
    if (!loaded.includesLastLayer()) {
      return OutputBody.activation(step, input.encodeActivation(activation.get()));
    }
    return OutputBody.token(
        step,
        ReferenceModel.token(activation.get()),
        ReferenceModel.finish(
            loaded.parameters(), activation.get(), step.position(), step.maxTokens()));
  }
}
