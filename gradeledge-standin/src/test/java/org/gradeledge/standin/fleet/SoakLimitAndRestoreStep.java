package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.util.Random;

/**
 * What the soak does to what engines say and to what the store remembers. A series of its own, so
 * that seeds play the same other steps as before there was this one.
 */
enum SoakLimitAndRestoreStep implements SoakAction {
  /** An engine names a limit while nothing else is wrong, and then names it no more. */
  NAME_LIMIT_IN_CALM(true) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      run.engineSteps()
          .checkLimit(
              run.engines().randomEngine(random),
              VALID_LIMITS[random.nextInt(VALID_LIMITS.length)]);
    }
  },
  /** An engine names a limit, or something that is none, while other things go wrong. */
  NAME_LIMIT(false) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      EngineLimit limit = run.engines().randomEngine(random).limit();
      limit.name(LIMIT_VALUES[random.nextInt(LIMIT_VALUES.length)]);
      SoakRun.pause(500 + random.nextInt(2_500));
      limit.withdraw();
    }
  },
  /** The store comes back as an older copy, while other things go wrong. */
  DRILL(false) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      restoreSnapshot(run, random);
    }
  },
  /** It does so twice in a row. */
  TWO_DRILLS(false) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      StoreStandIn.Copy copy = run.store().copy();
      restoreSnapshot(run, random);
      run.store().comeBackAs(copy);
      run.rewriteStore();
    }
  },
  /** Boxes are killed and started while it does so. */
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

  SoakLimitAndRestoreStep(boolean calm) {
    this.exclusive = calm;
  }

  @Override
  public boolean isExclusive() {
    return exclusive;
  }

  /** Engines and operator write again within some 1.5 s what they had written since. */
  private static void restoreSnapshot(SoakRun run, Random random) throws InterruptedException {
    StoreStandIn.Copy copy = run.store().copy();
    SoakRun.pause(300 + random.nextInt(2_500));
    run.store().comeBackAs(copy);
    SoakRun.pause(random.nextInt(1_500));
    run.rewriteStore();
    SoakRun.pause(1_000 + random.nextInt(1_500));
  }
}
