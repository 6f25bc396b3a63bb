package io.zinniawood.core.entry;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Vector;
import io.zinniawood.core.configuration.ClientAccount;
import io.zinniawood.core.configuration.ClusterConfiguration;
import io.zinniawood.core.configuration.ModelDefinition;
import io.zinniawood.core.configuration.RepairPolicy;
import io.zinniawood.core.configuration.RetryPolicy;
import io.zinniawood.core.configuration.RoutingPolicy;
import io.zinniawood.core.configuration.ServiceDefinition;
import java.util.SplittableRandom;

/** Draws configurations in which anything may differ from the one before. */
final class ChangingConfiguration {
  private final World world;
  private final SplittableRandom random;
  private long generation = 1;
  private boolean changing;

  ChangingConfiguration(World world, long seed) {
    this.world = world;
    this.random = new SplittableRandom(seed);
  }

  /** Accepts a drawn configuration before about one event in ten. */
  void changeSometimes() {
    if (!changing && random.nextInt(10) == 0) {
      changing = true;
      accept(draw());
      changing = false;
    }
  }

  /** Accepts the configuration without tight limits again. */
  void restore() {
    accept(Fixtures.highLimitConfiguration().cluster());
  }

  private void accept(ClusterConfiguration cluster) {
    world.reduce(new EntryEvent.ConfigurationAccepted(Fixtures.accepted(++generation, cluster)));
  }

  private boolean rarely() {
    return random.nextInt(8) == 0;
  }

  private ClusterConfiguration draw() {
    ClientAccount account =
        rarely() ? Fixtures.account(1, 2, 1) : Fixtures.account(1e6, 1_000_000, 1_000_000);
    ModelDefinition model =
        new ModelDefinition(
            Fixtures.MODEL,
            rarely() ? Fixtures.LAYERS + 4 : Fixtures.LAYERS,
            1 + random.nextInt(2),
            Fixtures.TOKENS_PER_ANSWER + random.nextInt(64),
            1 + random.nextInt(5_000),
            "v" + random.nextInt(2));
    ServiceDefinition service =
        new ServiceDefinition(
            Fixtures.CREDIT, HashSet.of("GET"), 1 + random.nextInt(3_000), 60_000);
    return new ClusterConfiguration(
        rarely() ? HashMap.empty() : HashMap.of(account.id(), account),
        rarely() ? HashMap.empty() : HashMap.of(model.id(), model),
        rarely() ? HashMap.empty() : HashMap.of(service.name(), service),
        Vector.empty(),
        new RoutingPolicy(
            1 + random.nextInt(8),
            1 + random.nextDouble(),
            random.nextInt(1_000),
            random.nextDouble(),
            20 + random.nextInt(400)),
        new RetryPolicy(
            1 + random.nextInt(4),
            random.nextDouble(),
            random.nextInt(10),
            1 + random.nextInt(50),
            50 + random.nextInt(200),
            20 + random.nextInt(800)),
        new RepairPolicy(
            1 + random.nextInt(3), 500 + random.nextInt(2_000), 1_000 + random.nextInt(6_000)));
  }
}
