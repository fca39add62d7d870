package org.gradeledge.standin.measure;

import java.util.List;
import java.util.Locale;
import org.gradeledge.standin.engine.EngineFault;
import org.gradeledge.standin.load.LoadPlan;
import org.gradeledge.standin.load.Target;

/** Test scenarios: the load as a multiple of the capacity, and the fault of one engine. */
enum Scenario {
  STEADY(0.7, EngineFault.NONE),
  OVER(1.5, EngineFault.NONE),
  FAR_OVER(3, EngineFault.NONE),
  BURST(0.5, EngineFault.NONE) {
    @Override
    LoadPlan plan(List<Target> targets, double capacity, double seconds, long seed) {
      List<Target> onePipeline = targetsOfPipeline(targets, targets.get(0).file().pipeline());
      LoadPlan burst =
          LoadPlan.poisson(onePipeline, 2 * capacity, seconds / 3, 2 * seconds / 3, seed + 1);
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

  private final double capacityFactor;
  private final EngineFault fault;

  Scenario(double capacityFactor, EngineFault fault) {
    this.capacityFactor = capacityFactor;
    this.fault = fault;
  }

  LoadPlan plan(List<Target> targets, double capacity, double seconds, long seed) {
    return LoadPlan.poisson(targets, capacityFactor * capacity, 0, seconds, seed);
  }

  /** Returns the account that exceeds its share of the load, or an empty string. */
  String floodingAccount(List<Target> targets) {
    return "";
  }

  /** Returns the fault that is injected into one engine of the generate stage. */
  EngineFault fault() {
    return fault;
  }

  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static List<Target> targetsOfPipeline(List<Target> targets, String pipeline) {
    return targets.stream().filter(target -> target.file().pipeline().equals(pipeline)).toList();
  }
}
