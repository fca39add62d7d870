package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.util.Random;

/**
 * Steps that restart engines or write invalid rows into their list. They form a separate series, so
 * that a seed still produces the same steps in the other series.
 */
enum SoakRestartStep implements SoakAction {
  /** An engine crashes and restarts under the same id while other steps run. */
  START_AGAIN(false) {
    @Override
    public void execute(SoakRun run, Random random) throws IOException, InterruptedException {
      run.engineSteps().restart(run.engines().randomEngine(random));
      SoakRun.pause(500 + random.nextInt(1_500));
    }
  },
  /** An engine restarts while no fault is injected; no box may request its previous results. */
  START_AGAIN_IN_CALM(true) {
    @Override
    public void execute(SoakRun run, Random random) throws IOException, InterruptedException {
      run.engineSteps().checkRestart(run.engines().randomEngine(random));
    }
  },
  /** An engine leaves and restarts under the same id while no fault is injected. */
  COME_BACK_IN_CALM(true) {
    @Override
    public void execute(SoakRun run, Random random) throws IOException, InterruptedException {
      run.engineSteps().checkLeavingAndRestart(run.engines().randomEngine(random));
    }
  },
  /** Foreign rows are written to the list, one of them over the row of an engine. */
  ROWS_FROM_OTHERS(false) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      String row = FOREIGN_ROWS[random.nextInt(FOREIGN_ROWS.length)];
      FleetEngine engine = run.engines().randomEngine(random);
      run.store().put("servers", "other-" + random.nextInt(9), row);
      run.store().put("servers", engine.id(), row);
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

  SoakRestartStep(boolean exclusive) {
    this.exclusive = exclusive;
  }

  @Override
  public boolean isExclusive() {
    return exclusive;
  }
}
