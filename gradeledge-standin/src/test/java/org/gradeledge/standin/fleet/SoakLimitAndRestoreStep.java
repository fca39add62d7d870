package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.util.Random;

/**
 * Steps in which engines announce rate limits or the store is restored from a snapshot. They form a
 * separate series, so that a seed still produces the same steps in the other series.
 */
enum SoakLimitAndRestoreStep implements SoakAction {
  /** An engine announces a limit and withdraws it while no fault is injected. */
  NAME_LIMIT_IN_CALM(true) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      run.engineSteps()
          .checkLimit(
              run.engines().randomEngine(random),
              VALID_LIMITS[random.nextInt(VALID_LIMITS.length)]);
    }
  },
  /** An engine announces a valid or invalid limit while other steps run. */
  NAME_LIMIT(false) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      EngineRateLimit limit = run.engines().randomEngine(random).rateLimit();
      limit.announce(LIMIT_VALUES[random.nextInt(LIMIT_VALUES.length)]);
      SoakRun.pause(500 + random.nextInt(2_500));
      limit.withdraw();
    }
  },
  /** Restores the store from a snapshot while other steps run. */
  DRILL(false) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      restoreSnapshot(run, random);
    }
  },
  /** Restores the store from a snapshot twice. */
  TWO_DRILLS(false) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      StoreStandIn.Snapshot snapshot = run.store().snapshot();
      restoreSnapshot(run, random);
      run.store().restore(snapshot);
      run.rewriteStore();
    }
  },
  /** Kills a box before the store is restored and starts it afterwards. */
  DRILL_WITH_KILL(false) {
    @Override
    public void execute(SoakRun run, Random random) throws IOException, InterruptedException {
      SoakBox box = run.randomBox(random);
      synchronized (box.processLock()) {
        box.kill();
        restoreSnapshot(run, random);
        box.start(run.seedAddresses());
      }
    }
  };

  private static final double[] VALID_LIMITS = {2, 5, 20};
  private static final String[] LIMIT_VALUES = {"0.5", "3", "0", "1e9", "-1", "", "many", "30"};

  private final boolean exclusive;

  SoakLimitAndRestoreStep(boolean exclusive) {
    this.exclusive = exclusive;
  }

  @Override
  public boolean isExclusive() {
    return exclusive;
  }

  /** Restores a snapshot and later writes again what it lacks. */
  private static void restoreSnapshot(SoakRun run, Random random) throws InterruptedException {
    StoreStandIn.Snapshot snapshot = run.store().snapshot();
    SoakRun.pause(300 + random.nextInt(2_500));
    run.store().restore(snapshot);
    SoakRun.pause(random.nextInt(1_500));
    run.rewriteStore();
    SoakRun.pause(1_000 + random.nextInt(1_500));
  }
}
