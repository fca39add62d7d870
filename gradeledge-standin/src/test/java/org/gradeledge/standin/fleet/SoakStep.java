package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.util.Random;

/** What the soak does to a run. */
enum SoakStep implements SoakAction {
  /** The link of a box to the store is harmed. */
  HARM_STORE_LINK(false) {
    @Override
    public void play(SoakRun run, Random random) throws InterruptedException {
      harm(run.anyBox(random).storeLink(), random);
    }
  },
  /** The link to an engine is harmed. */
  HARM_ENGINE_LINK(false) {
    @Override
    public void play(SoakRun run, Random random) throws InterruptedException {
      harm(run.engines().anyLink(random), random);
    }
  },
  /** The store is away, or forgets its history. */
  HARM_STORE(false) {
    @Override
    public void play(SoakRun run, Random random) throws InterruptedException {
      StoreFault[] faults = {StoreFault.BUSY, StoreFault.SILENT, StoreFault.FORGETFUL};
      run.store().setFault(faults[random.nextInt(faults.length)]);
      SoakRun.last(500 + random.nextInt(2_000));
      run.store().setFault(StoreFault.NONE);
    }
  },
  /** An engine fails its requests in some way. */
  HARM_ENGINE(false) {
    @Override
    public void play(SoakRun run, Random random) throws InterruptedException {
      EngineFault[] faults = {
        EngineFault.FULL,
        EngineFault.ANSWER_LOST,
        EngineFault.OTHERS_ANSWER_FIRST,
        EngineFault.EXTRA_ANSWER,
        EngineFault.CUT,
        EngineFault.CUT_WITHOUT_LENGTH,
        EngineFault.ERROR
      };
      FleetEngine engine = run.engines().any(random);
      engine.setFault(faults[random.nextInt(faults.length)]);
      SoakRun.last(200 + random.nextInt(1_500));
      engine.setFault(EngineFault.NONE);
    }
  },
  /** A box stands still for a while. */
  FREEZE_BOX(false) {
    @Override
    public void play(SoakRun run, Random random) throws IOException, InterruptedException {
      SoakBox box = run.anyBox(random);
      synchronized (box.steps()) {
        box.signal("STOP");
        SoakRun.last(300 + random.nextInt(2_500));
        box.signal("CONT");
      }
    }
  },
  /** A box is killed and started again. */
  KILL_BOX(false) {
    @Override
    public void play(SoakRun run, Random random) throws IOException, InterruptedException {
      SoakBox box = run.anyBox(random);
      synchronized (box.steps()) {
        box.kill();
        SoakRun.last(random.nextInt(500));
        box.start(run.allSeeds());
      }
    }
  },
  /** A box is told to stop while other things go wrong, and started again. */
  STOP_BOX(false) {
    @Override
    public void play(SoakRun run, Random random) throws IOException {
      SoakBox box = run.anyBox(random);
      synchronized (box.steps()) {
        box.stop();
        box.start(run.allSeeds());
      }
    }
  },
  /** A box is told to stop while nothing else is wrong. */
  STOP_BOX_IN_CALM(true) {
    @Override
    public void play(SoakRun run, Random random) throws IOException {
      run.stopAsPlanned(run.anyBox(random));
    }
  },
  /** A route is added. */
  ADD_ROUTE(false) {
    @Override
    public void play(SoakRun run, Random random) throws InterruptedException {
      run.addRoute();
      SoakRun.last(random.nextInt(1_000));
    }
  },
  /** An engine leaves while nothing else is wrong. */
  LEAVE_IN_CALM(true) {
    @Override
    public void play(SoakRun run, Random random) throws IOException, InterruptedException {
      run.engineSteps().leave(run.engines().any(random));
    }
  };

  private final boolean needsCalm;

  SoakStep(boolean needsCalm) {
    this.needsCalm = needsCalm;
  }

  @Override
  public boolean needsCalm() {
    return needsCalm;
  }

  private static void harm(FaultyLink link, Random random) throws InterruptedException {
    FaultyLink.Fault[] faults = FaultyLink.Fault.values();
    link.set(faults[random.nextInt(faults.length)]);
    SoakRun.last(200 + random.nextInt(2_500));
    link.set(FaultyLink.Fault.NONE);
  }
}
