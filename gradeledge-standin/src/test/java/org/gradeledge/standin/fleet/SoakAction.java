package org.gradeledge.standin.fleet;

import java.io.IOException;
import java.util.Random;

/** Something that the soak does to a run. */
interface SoakAction {

  /** Returns its name. */
  String name();

  /** Returns whether other steps have to be over before it and wait for it. */
  boolean isExclusive();

  /** Does it, and undoes it where it lasts. */
  void execute(SoakRun run, Random random) throws IOException, InterruptedException;
}
