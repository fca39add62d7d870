package org.gradeledge.standin.fleet;

import java.util.List;

/**
 * A series of steps beside those of faults; a new one leaves the steps of the others as they are.
 *
 * @param actions the steps
 * @param seedMask combined with the seed of a run, it is the seed from which steps are drawn
 */
record SoakSeries(SoakAction[] actions, long seedMask) {

  static final List<SoakSeries> ALL =
      List.of(
          new SoakSeries(SoakRestartStep.values(), -1),
          new SoakSeries(SoakLimitAndRestoreStep.values(), 0x5eed),
          new SoakSeries(SoakAnnouncementStep.values(), 0x51617a1),
          new SoakSeries(SoakPartitionStep.values(), 0x9a27),
          new SoakSeries(SoakVersionStep.values(), 0x7e12),
          new SoakSeries(SoakSilenceStep.values(), 0x511e),
          new SoakSeries(SoakAllBoxesStep.values(), 0xa11b),
          new SoakSeries(SoakAnswerStep.values(), 0xa25e),
          new SoakSeries(SoakAnswerStep.values(), 0xa25f));
}
