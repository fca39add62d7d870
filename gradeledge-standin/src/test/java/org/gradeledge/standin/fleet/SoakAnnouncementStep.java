package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.util.Random;

/**
 * Steps in which engines announce that they leave or request a backoff. They form a separate
 * series, so that a seed still produces the same steps in the other series.
 */
enum SoakAnnouncementStep implements SoakAction {
  /** An engine announces that it leaves and restarts under the same id. */
  ANNOUNCE_LEAVING(false) {
    @Override
    public void execute(SoakRun run, Random random) throws IOException, InterruptedException {
      run.engineSteps().announceLeaving(run.engines().randomEngine(random), randomMillis(random));
    }
  },
  /** An engine announces that it leaves while the store is unavailable. */
  ANNOUNCE_LEAVING_IN_OUTAGE(false) {
    @Override
    public void execute(SoakRun run, Random random) throws IOException, InterruptedException {
      run.store().setFault(StoreFault.SILENT);
      run.engineSteps().announceLeaving(run.engines().randomEngine(random), randomMillis(random));
      run.store().setFault(StoreFault.NONE);
    }
  },
  /** An engine sends an invalid leaving announcement and continues to serve. */
  ANNOUNCE_UNREADABLY(false) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      EngineAnnouncements announcements = run.engines().randomEngine(random).announcements();
      announcements.announceLeaving(
          INVALID_LEAVING_VALUES[random.nextInt(INVALID_LEAVING_VALUES.length)]);
      SoakRun.pause(randomMillis(random));
      announcements.withdraw();
    }
  },
  /** An engine requests a backoff while no fault is injected. */
  TURN_AWAY_IN_CALM(true) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      run.engineSteps().checkBackoff(run.engines().randomEngine(random), 2 + random.nextInt(3));
    }
  },
  /** An engine requests a valid or invalid backoff while other steps run. */
  TURN_AWAY(false) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      EngineAnnouncements announcements = run.engines().randomEngine(random).announcements();
      announcements.announceBackoff(BACKOFF_VALUES[random.nextInt(BACKOFF_VALUES.length)]);
      SoakRun.pause(randomMillis(random));
      announcements.withdraw();
    }
  };

  private static final String[] INVALID_LEAVING_VALUES = {"0", "", "yes", "2", "-1"};
  private static final String[] BACKOFF_VALUES = {"0", "0.2", "1", "2.5", "-1", "soon", "", "0.05"};

  private final boolean exclusive;

  SoakAnnouncementStep(boolean exclusive) {
    this.exclusive = exclusive;
  }

  @Override
  public boolean isExclusive() {
    return exclusive;
  }

  private static long randomMillis(Random random) {
    return 500 + random.nextInt(2_500);
  }
}
