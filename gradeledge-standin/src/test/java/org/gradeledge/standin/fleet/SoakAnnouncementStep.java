package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.util.Random;

/**
 * What the soak has engines say of themselves: that they leave, and that they want no requests for
 * a while. A series of its own, so that seeds play the same other steps as before there was this
 * one.
 */
enum SoakAnnouncementStep implements SoakAction {
  /** An engine says in its answers that it leaves, ends and starts again under its id. */
  ANNOUNCE_LEAVING(false) {
    @Override
    public void execute(SoakRun run, Random random) throws IOException, InterruptedException {
      run.engineSteps().announceLeaving(run.engines().randomEngine(random), randomMillis(random));
    }
  },
  /** It does so while the store is away, so that its entry cannot say it. */
  ANNOUNCE_LEAVING_IN_OUTAGE(false) {
    @Override
    public void execute(SoakRun run, Random random) throws IOException, InterruptedException {
      run.store().setFault(StoreFault.SILENT);
      run.engineSteps().announceLeaving(run.engines().randomEngine(random), randomMillis(random));
      run.store().setFault(StoreFault.NONE);
    }
  },
  /** An engine says something of leaving that cannot be read: it goes on serving. */
  ANNOUNCE_UNREADABLY(false) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      EngineSignals signals = run.engines().randomEngine(random).signals();
      signals.announceLeaving(
          INVALID_LEAVING_VALUES[random.nextInt(INVALID_LEAVING_VALUES.length)]);
      SoakRun.pause(randomMillis(random));
      signals.withdraw();
    }
  },
  /** An engine turns requests away and asks for time without any, while nothing else is wrong. */
  TURN_AWAY_IN_CALM(true) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      run.engineSteps().checkBackoff(run.engines().randomEngine(random), 2 + random.nextInt(3));
    }
  },
  /** An engine does so, or asks for something odd, while other things go wrong. */
  TURN_AWAY(false) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      EngineSignals signals = run.engines().randomEngine(random).signals();
      signals.turnAway(BACKOFF_VALUES[random.nextInt(BACKOFF_VALUES.length)]);
      SoakRun.pause(randomMillis(random));
      signals.withdraw();
    }
  };

  private static final String[] INVALID_LEAVING_VALUES = {"0", "", "yes", "2", "-1"};
  private static final String[] BACKOFF_VALUES = {"0", "0.2", "1", "2.5", "-1", "soon", "", "0.05"};

  private final boolean exclusive;

  SoakAnnouncementStep(boolean calm) {
    this.exclusive = calm;
  }

  @Override
  public boolean isExclusive() {
    return exclusive;
  }

  private static long randomMillis(Random random) {
    return 500 + random.nextInt(2_500);
  }
}
