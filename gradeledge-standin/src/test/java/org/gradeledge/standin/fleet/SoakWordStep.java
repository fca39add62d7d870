package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.util.Random;

/**
 * What the soak does to what engines say and to what the store remembers. A series of its own, so
 * that seeds play the same other steps as before there was this one.
 */
enum SoakWordStep implements SoakAction {
  /** An engine names a limit while nothing else is wrong, and then names it no more. */
  NAME_LIMIT_IN_CALM(true) {
    @Override
    public void play(SoakRun run, Random random) throws InterruptedException {
      run.engineSteps()
          .limitInCalm(run.engines().any(random), LIMITS[random.nextInt(LIMITS.length)]);
    }
  },
  /** An engine names a limit, or something that is none, while other things go wrong. */
  NAME_LIMIT(false) {
    @Override
    public void play(SoakRun run, Random random) throws InterruptedException {
      EngineRateLimit limit = run.engines().any(random).rateLimit();
      limit.announce(WORDS[random.nextInt(WORDS.length)]);
      SoakRun.last(500 + random.nextInt(2_500));
      limit.withdraw();
    }
  },
  /** The store comes back as an older copy, while other things go wrong. */
  DRILL(false) {
    @Override
    public void play(SoakRun run, Random random) throws InterruptedException {
      drill(run, random);
    }
  },
  /** It does so twice in a row. */
  TWO_DRILLS(false) {
    @Override
    public void play(SoakRun run, Random random) throws InterruptedException {
      StoreStandIn.Snapshot copy = run.store().snapshot();
      drill(run, random);
      run.store().restore(copy);
      run.writeAgain();
    }
  },
  /** Boxes are killed and started while it does so. */
  DRILL_WITH_KILL(false) {
    @Override
    public void play(SoakRun run, Random random) throws IOException, InterruptedException {
      SoakBox box = run.anyBox(random);
      synchronized (box.steps()) {
        box.kill();
        drill(run, random);
        box.start(run.allSeeds());
      }
    }
  };

  private static final double[] LIMITS = {2, 5, 20};
  private static final String[] WORDS = {"0.5", "3", "0", "1e9", "-1", "", "many", "30"};

  private final boolean calm;

  SoakWordStep(boolean calm) {
    this.calm = calm;
  }

  @Override
  public boolean needsCalm() {
    return calm;
  }

  /** Engines and operator write again within some 1.5 s what they had written since. */
  private static void drill(SoakRun run, Random random) throws InterruptedException {
    StoreStandIn.Snapshot copy = run.store().snapshot();
    SoakRun.last(300 + random.nextInt(2_500));
    run.store().restore(copy);
    SoakRun.last(random.nextInt(1_500));
    run.writeAgain();
    SoakRun.last(1_000 + random.nextInt(1_500));
  }
}
