package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.util.Random;

/**
 * What the soak does to starts of engines and to their list. A series of its own, so that seeds
 * play the same other steps as before there was this one.
 */
enum SoakRestartStep implements SoakAction {
  /** An engine crashes and starts again under its id, while other things go wrong. */
  START_AGAIN(false) {
    @Override
    public void execute(SoakRun run, Random random) throws IOException, InterruptedException {
      run.engineSteps().restart(run.engines().randomEngine(random));
      SoakRun.pause(500 + random.nextInt(1_500));
    }
  },
  /** The same while nothing else is wrong: it must not be asked about what it held before. */
  START_AGAIN_IN_CALM(true) {
    @Override
    public void execute(SoakRun run, Random random) throws IOException, InterruptedException {
      run.engineSteps().checkRestart(run.engines().randomEngine(random));
    }
  },
  /** An engine leaves, and comes back under its id, while nothing else is wrong. */
  COME_BACK_IN_CALM(true) {
    @Override
    public void execute(SoakRun run, Random random) throws IOException, InterruptedException {
      run.engineSteps().checkLeavingAndRestart(run.engines().randomEngine(random));
    }
  },
  /** Something else writes rows into the list, one of them over the row of an engine. */
  ROWS_FROM_OTHERS(false) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      String text = FOREIGN_ROWS[random.nextInt(FOREIGN_ROWS.length)];
      FleetEngine engine = run.engines().randomEngine(random);
      run.store().put("servers", "other-" + random.nextInt(9), text);
      run.store().put("servers", engine.id(), text);
      SoakRun.pause(200 + random.nextInt(1_000));
      run.engines().putRow(engine, "ready");
      SoakRun.pause(random.nextInt(1_000));
    }
  };

  private static final String[] FOREIGN_ROWS = {
    "",
    "{",
    "[]",
    "{\"service\":\"plain\"}",
    "{\"service\":\"nobody\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"slots\":1,"
        + "\"state\":\"ready\",\"cold_remaining_ms\":0}",
    "{\"service\":\"plain\",\"address\":\"127.0.0.1\",\"zone\":\"z\",\"slots\":\"8\","
        + "\"state\":\"lost\",\"cold_remaining_ms\":\"soon\"}"
  };

  private final boolean exclusive;

  SoakRestartStep(boolean calm) {
    this.exclusive = calm;
  }

  @Override
  public boolean isExclusive() {
    return exclusive;
  }
}
