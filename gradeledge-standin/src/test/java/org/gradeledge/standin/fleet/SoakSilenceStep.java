package org.gradeledge.standin.fleet;

import java.util.Random;

/**
 * Steps in which engines fall silent although they are sound. They form a separate series, so that
 * a seed still produces the same steps in the other series.
 */
enum SoakSilenceStep implements SoakAction {
  /** The streams of an engine pause for longer than a box waits before it asks, and go on. */
  PAUSE_STREAMS {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      EngineSilence silence = run.versionedEngines().randomEngine(random).silence();
      silence.pauseAfter(random.nextInt(FleetEngine.EVENTS));
      SoakRun.pause(1_600 + random.nextInt(2_500));
      silence.resume();
    }
  },
  /** The connections of an engine's streams carry nothing any more; new ones work. */
  SEVER_STREAMS {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      EngineSilence silence = run.versionedEngines().randomEngine(random).silence();
      silence.severAfter(random.nextInt(FleetEngine.EVENTS));
      SoakRun.pause(100 + random.nextInt(300));
      silence.resume();
    }
  },
  /** All open connections of an engine carry nothing any more; new ones work. */
  SEVER_CONNECTIONS {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      run.engines().randomEngine(random).severConnections();
      SoakRun.pause(500 + random.nextInt(2_000));
    }
  };

  @Override
  public boolean isExclusive() {
    return false;
  }
}
