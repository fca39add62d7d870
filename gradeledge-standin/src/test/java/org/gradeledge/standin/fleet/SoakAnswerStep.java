package org.gradeledge.standin.fleet;

import java.util.List;
import java.util.Random;

/** Steps in which the answers of an engine deviate in one way or two. */
enum SoakAnswerStep implements SoakAction {
  /** An engine that serves requests or streams. */
  DEVIATE {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      List<FleetEngine> servers = run.engines().servers();
      FleetEngine engine = servers.get(random.nextInt(servers.size()));
      begin(engine, run, random);
      SoakRun.pause(randomMillis(random));
      engine.deviations().end();
    }
  },
  /** An engine of the service that has several software versions. */
  DEVIATE_AMONG_VERSIONS {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      long millis = randomMillis(random);
      run.versionedEngines().harmOne(random, engine -> begin(engine, run, random), millis);
    }
  };

  private static final int MAX_ONE_IN = 3;
  private static final int ROUNDS = 3;
  private static final long ROUND_MILLIS = 1_200;

  @Override
  public boolean isExclusive() {
    return false;
  }

  private static void begin(FleetEngine engine, SoakRun run, Random random) {
    List<AnswerDeviation> deviations = DrawnDeviation.drawOneOrTwo(random);
    int oneIn = 1 + random.nextInt(MAX_ONE_IN);
    run.logStep(engine.id() + " deviates, one in " + oneIn + ": " + deviations);
    engine.deviations().begin(deviations, oneIn, random.nextLong());
  }

  /** Lets all engines deviate for a while; a run begins with it, before any other fault. */
  static void deviateEverywhere(SoakRun run, Random random) throws InterruptedException {
    run.boxes().forEach(box -> run.callers().startIdempotent(box, ROUNDS * ROUND_MILLIS));
    List<FleetEngine> servers = run.engines().servers();
    for (int round = 0; round < ROUNDS; round++) {
      servers.forEach(engine -> begin(engine, run, random));
      run.versionedEngines().harmAll(engine -> begin(engine, run, random), ROUND_MILLIS);
    }
    servers.forEach(engine -> engine.deviations().end());
  }

  private static long randomMillis(Random random) {
    return 300 + random.nextInt(1_500);
  }
}
