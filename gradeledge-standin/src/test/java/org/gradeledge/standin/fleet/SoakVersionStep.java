package org.gradeledge.standin.fleet;

import java.util.Random;

/**
 * Steps among engines of several software versions. They form a separate series, so that a seed
 * still produces the same steps in the other series.
 */
enum SoakVersionStep implements SoakAction {
  /** An engine is replaced by one of a random version. */
  REPLACE_ENGINE {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      run.versionedEngines().replaceOne(random);
      SoakRun.pause(300 + random.nextInt(1_000));
    }
  },
  /** An engine breaks off its streams. */
  BREAK_STREAMS {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      run.versionedEngines().harmOne(random, EngineFault.CUT, 300 + random.nextInt(1_000));
    }
  },
  /** An engine sends its streams slowly, so that kills and stops meet them in the middle. */
  SLOW_STREAMS {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      run.versionedEngines().harmOne(random, EngineFault.SLOW, 300 + random.nextInt(1_500));
    }
  };

  @Override
  public boolean isExclusive() {
    return false;
  }
}
