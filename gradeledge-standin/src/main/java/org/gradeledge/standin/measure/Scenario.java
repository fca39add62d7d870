package org.gradeledge.standin.measure;

import java.util.List;
import java.util.Locale;
import org.gradeledge.standin.engine.EngineFault;
import org.gradeledge.standin.load.LoadPlan;
import org.gradeledge.standin.load.Target;

/** The experiments: load as a multiple of capacity, and what goes wrong meanwhile. */
enum Scenario {
  STEADY(0.7, EngineFault.NONE),
  OVER(1.5, EngineFault.NONE),
  FAR_OVER(3, EngineFault.NONE),
  BURST(0.5, EngineFault.NONE) {
    @Override
    LoadPlan plan(List<Target> targets, double capacity, double seconds, long seed) {
      List<Target> one = targetsOfPipeline(targets, targets.get(0).file().pipeline());
      LoadPlan burst = LoadPlan.poisson(one, 2 * capacity, seconds / 3, 2 * seconds / 3, seed + 1);
      return super.plan(targets, capacity, seconds, seed).mergedWith(burst);
    }
  },
  FLOOD(0.5, EngineFault.NONE) {
    @Override
    LoadPlan plan(List<Target> targets, double capacity, double seconds, long seed) {
      LoadPlan flood =
          LoadPlan.poisson(List.of(targets.get(0)), 2 * capacity, 0, seconds, seed + 1);
      return super.plan(targets, capacity, seconds, seed).mergedWith(flood);
    }

    @Override
    String floodingAccount(List<Target> targets) {
      return targets.get(0).account().name();
    }
  },
  SLOW_ENGINE(0.6, EngineFault.SLOW),
  FROZEN_ENGINE(0.6, EngineFault.FROZEN);

  private final double load;
  private final EngineFault fault;

  Scenario(double load, EngineFault fault) {
    this.load = load;
    this.fault = fault;
  }

  LoadPlan plan(List<Target> targets, double capacity, double seconds, long seed) {
    return LoadPlan.poisson(targets, load * capacity, 0, seconds, seed);
  }

  /** Returns the account that floods, empty where none does. */
  String floodingAccount(List<Target> targets) {
    return "";
  }

  /** Returns the fault of one engine of the generating stage. */
  EngineFault fault() {
    return fault;
  }

  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static List<Target> targetsOfPipeline(List<Target> targets, String pipeline) {
    return targets.stream().filter(t -> t.file().pipeline().equals(pipeline)).toList();
  }
}
