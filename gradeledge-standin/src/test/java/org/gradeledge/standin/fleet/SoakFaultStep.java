package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.util.Random;

/** What the soak does to a run. */
enum SoakFaultStep implements SoakAction {
  /** The link of a box to the store is harmed. */
  HARM_STORE_LINK(false) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      injectFault(run.randomBox(random).storeLink(), random);
    }
  },
  /** The link to an engine is harmed. */
  HARM_ENGINE_LINK(false) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      injectFault(run.engines().randomLink(random), random);
    }
  },
  /** The store is away, or forgets its history. */
  HARM_STORE(false) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      StoreFault[] faults = {StoreFault.BUSY, StoreFault.SILENT, StoreFault.FORGETFUL};
      run.store().setFault(faults[random.nextInt(faults.length)]);
      SoakRun.pause(500 + random.nextInt(2_000));
      run.store().setFault(StoreFault.NONE);
    }
  },
  /** An engine fails its requests in some way. */
  HARM_ENGINE(false) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      EngineFault[] faults = {
        EngineFault.FULL,
        EngineFault.ANSWER_LOST,
        EngineFault.OTHERS_ANSWER_FIRST,
        EngineFault.EXTRA_ANSWER,
        EngineFault.CUT,
        EngineFault.CUT_WITHOUT_LENGTH,
        EngineFault.ERROR
      };
      FleetEngine engine = run.engines().randomEngine(random);
      engine.setFault(faults[random.nextInt(faults.length)]);
      SoakRun.pause(200 + random.nextInt(1_500));
      engine.setFault(EngineFault.NONE);
    }
  },
  /** A box stands still for a while. */
  FREEZE_BOX(false) {
    @Override
    public void execute(SoakRun run, Random random) throws IOException, InterruptedException {
      SoakBox box = run.randomBox(random);
      synchronized (box.processLock()) {
        box.signal("STOP");
        SoakRun.pause(300 + random.nextInt(2_500));
        box.signal("CONT");
      }
    }
  },
  /** A box is killed and started again. */
  KILL_BOX(false) {
    @Override
    public void execute(SoakRun run, Random random) throws IOException, InterruptedException {
      SoakBox box = run.randomBox(random);
      synchronized (box.processLock()) {
        box.kill();
        SoakRun.pause(random.nextInt(500));
        box.start(run.seedAddresses());
      }
    }
  },
  /** A box is told to stop while other things go wrong, and started again. */
  STOP_BOX(false) {
    @Override
    public void execute(SoakRun run, Random random) throws IOException {
      SoakBox box = run.randomBox(random);
      synchronized (box.processLock()) {
        box.stop();
        box.start(run.seedAddresses());
      }
    }
  },
  /** A box is told to stop while nothing else is wrong. */
  STOP_BOX_IN_CALM(true) {
    @Override
    public void execute(SoakRun run, Random random) throws IOException {
      run.stopAsPlanned(run.randomBox(random));
    }
  },
  /** A route is added. */
  ADD_ROUTE(false) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      run.addRoute();
      SoakRun.pause(random.nextInt(1_000));
    }
  },
  /** An engine leaves while nothing else is wrong. */
  LEAVE_IN_CALM(true) {
    @Override
    public void execute(SoakRun run, Random random) throws IOException, InterruptedException {
      run.engineSteps().checkLeaving(run.engines().randomEngine(random));
    }
  };

  private final boolean exclusive;

  SoakFaultStep(boolean needsCalm) {
    this.exclusive = needsCalm;
  }

  @Override
  public boolean isExclusive() {
    return exclusive;
  }

  private static void injectFault(FaultyLink link, Random random) throws InterruptedException {
    FaultyLink.Fault[] faults = FaultyLink.Fault.values();
    link.setFault(faults[random.nextInt(faults.length)]);
    SoakRun.pause(200 + random.nextInt(2_500));
    link.setFault(FaultyLink.Fault.NONE);
  }
}
