package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.util.Random;

/**
 * Steps that affect all boxes at the same moment. They form a separate series, so that a seed still
 * produces the same steps in the other series.
 */
enum SoakAllBoxesStep implements SoakAction {
  /** The open connections of all boxes to the store carry nothing any more; new ones work. */
  SILENCE_STORE_CONNECTIONS {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      setStoreLinkFaults(run, FaultyLink.Fault.SILENCE_OPEN_CONNECTIONS);
      SoakRun.pause(300 + random.nextInt(2_500));
      setStoreLinkFaults(run, FaultyLink.Fault.NONE);
    }
  },
  /** All boxes are killed and restarted. */
  KILL_ALL_BOXES {
    @Override
    public void execute(SoakRun run, Random random) throws IOException, InterruptedException {
      restartKilledFrom(0, run, random.nextInt(1_000));
      SoakRun.pause(2_000 + random.nextInt(3_000));
    }
  };

  @Override
  public boolean isExclusive() {
    return false;
  }

  private static void setStoreLinkFaults(SoakRun run, FaultyLink.Fault fault) {
    run.boxes().forEach(box -> box.storeLink().setFault(fault));
  }

  /** Kills the boxes from a number on and restarts them once all are down. */
  private static void restartKilledFrom(int number, SoakRun run, long downMillis)
      throws IOException, InterruptedException {
    if (number == run.boxes().size()) {
      SoakRun.pause(downMillis);
      return;
    }
    SoakBox box = run.boxes().get(number);
    synchronized (box.processLock()) {
      box.kill();
      restartKilledFrom(number + 1, run, downMillis);
      box.start(run.seedAddresses());
    }
  }
}
