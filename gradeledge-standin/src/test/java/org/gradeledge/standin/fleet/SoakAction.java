package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.util.Random;

/** A step that the soak test executes during a run, such as the injection of a fault. */
interface SoakAction {

  /** Returns the name that the step log shows. */
  String name();

  /** Returns whether the step runs while no other step does. */
  boolean isExclusive();

  /** Executes the step and reverts its lasting effects. */
  void execute(SoakRun run, Random random) throws IOException, InterruptedException;
}
