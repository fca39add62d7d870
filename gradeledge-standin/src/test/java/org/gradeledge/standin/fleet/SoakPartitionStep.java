package org.gradeledge.standin.fleet;

import java.util.Random;

/**
 * Steps that partition boxes from all upstreams. They form a separate series, so that a seed still
 * produces the same steps in the other series.
 */
enum SoakPartitionStep implements SoakAction {
  /** Partitions a box while other steps run. */
  PARTITION_BOX(false) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      partition(run.randomBox(random), random);
      SoakRun.pause(random.nextInt(1_500));
    }
  },
  /** Partitions a box again shortly after a partition ended. */
  PARTITION_BOX_TWICE(false) {
    @Override
    public void execute(SoakRun run, Random random) throws InterruptedException {
      SoakBox box = run.randomBox(random);
      partition(box, random);
      SoakRun.pause(random.nextInt(300));
      partition(box, random);
    }
  },
  /** Checks that a partitioned box serves while no other fault is injected. */
  PARTITION_BOX_IN_CALM(true) {
    @Override
    public void execute(SoakRun run, Random random) {
      SoakBox box = run.randomBox(random);
      box.upstreamLinks().setFault(CHECKED_FAULTS[random.nextInt(CHECKED_FAULTS.length)]);
      run.expectServing(box, "while it is partitioned from all upstreams");
      box.upstreamLinks().setFault(FaultyLink.Fault.NONE);
    }
  };

  private static final FaultyLink.Fault[] FAULTS = {
    FaultyLink.Fault.REFUSE_NEW_CONNECTIONS,
    FaultyLink.Fault.RESET_AND_REFUSE,
    FaultyLink.Fault.HANG,
    FaultyLink.Fault.DROP_TO_TARGET,
    FaultyLink.Fault.DROP_FROM_TARGET
  };

  /** Faults in which new connections fail. */
  private static final FaultyLink.Fault[] CHECKED_FAULTS = {
    FaultyLink.Fault.REFUSE_NEW_CONNECTIONS,
    FaultyLink.Fault.RESET_AND_REFUSE,
    FaultyLink.Fault.HANG
  };

  private final boolean exclusive;

  SoakPartitionStep(boolean exclusive) {
    this.exclusive = exclusive;
  }

  @Override
  public boolean isExclusive() {
    return exclusive;
  }

  private static void partition(SoakBox box, Random random) throws InterruptedException {
    box.upstreamLinks().setFault(FAULTS[random.nextInt(FAULTS.length)]);
    SoakRun.pause(200 + random.nextInt(3_000));
    box.upstreamLinks().setFault(FaultyLink.Fault.NONE);
  }
}
