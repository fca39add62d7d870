package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.util.Random;

/** Steps that inject faults into boxes, engines, the store and the links between them. */
enum SoakFaultStep implements SoakAction {
  /** Injects a fault into the link of a box to the store. */
  HARM_STORE_LINK(false) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      injectFault(run.randomBox(random).storeLink(), random);
    }
  },
  /** Injects a fault into the link to an engine. */
  HARM_ENGINE_LINK(false) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      injectFault(run.engines().randomLink(random), random);
    }
  },
  /** Makes the store unavailable or lets it lose its history. */
  HARM_STORE(false) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      StoreFault[] faults = {StoreFault.BUSY, StoreFault.SILENT, StoreFault.FORGETFUL};
      run.store().setFault(faults[random.nextInt(faults.length)]);
      SoakRun.pause(500 + random.nextInt(2_000));
      run.store().setFault(StoreFault.NONE);
    }
  },
  /** Lets an engine fail its requests. */
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
  /** Suspends the process of a box. */
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
  /** Kills and restarts a box. */
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
  /** Stops and restarts a box while other steps run. */
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
  /** Stops and restarts a box while no fault is injected. */
  STOP_BOX_IN_CALM(true) {
    @Override
    public void execute(SoakRun run, Random random) throws IOException {
      run.stopAsPlanned(run.randomBox(random));
    }
  },
  /** Adds a route to the configuration. */
  ADD_ROUTE(false) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      run.addRoute();
      SoakRun.pause(random.nextInt(1_000));
    }
  },
  /** Replaces an engine while no fault is injected. */
  LEAVE_IN_CALM(true) {
    @Override
    public void execute(SoakRun run, Random random) throws IOException, InterruptedException {
      run.engineSteps().checkLeaving(run.engines().randomEngine(random));
    }
  };

  private static final FaultyLink.Fault[] LINK_FAULTS = {
    FaultyLink.Fault.NONE,
    FaultyLink.Fault.DELAY,
    FaultyLink.Fault.DROP_TO_TARGET,
    FaultyLink.Fault.DROP_FROM_TARGET,
    FaultyLink.Fault.SILENCE_OPEN_CONNECTIONS,
    FaultyLink.Fault.RESET
  };

  private final boolean exclusive;

  SoakFaultStep(boolean exclusive) {
    this.exclusive = exclusive;
  }

  @Override
  public boolean isExclusive() {
    return exclusive;
  }

  private static void injectFault(FaultyLink link, Random random) throws InterruptedException {
    link.setFault(LINK_FAULTS[random.nextInt(LINK_FAULTS.length)]);
    SoakRun.pause(200 + random.nextInt(2_500));
    link.setFault(FaultyLink.Fault.NONE);
  }
}
