package org.gradeledge.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.gradeledge.document.Fault;

/** Requires that a stage depends only on earlier stages, which rules out cycles. */
final class StageOrderCheck implements PipelineCheck {

  @Override
  public Stream<Fault> findFaults(PipelineFile file) {
    List<Fault> faults = new ArrayList<>();
    Set<String> stageNames = new HashSet<>();
    file.stages().forEach(stage -> stageNames.add(stage.name()));
    Set<String> earlierNames = new HashSet<>();
    for (int index = 0; index < file.stages().size(); index++) {
      StageDefinition stage = file.stages().get(index);
      checkStage(stage, "/stages/" + index + "/after", stageNames, earlierNames, faults);
      earlierNames.add(stage.name());
    }
    return faults.stream();
  }

  private static void checkStage(
      StageDefinition stage,
      String pointer,
      Set<String> stageNames,
      Set<String> earlierNames,
      List<Fault> faults) {
    List<String> after = stage.after().orElse(List.of());
    for (int index = 0; index < after.size(); index++) {
      String dependency = after.get(index);
      if (!stageNames.contains(dependency)) {
        faults.add(
            new Fault(pointer + "/" + index, "must name a stage; there is no " + dependency));
      } else if (!earlierNames.contains(dependency)) {
        faults.add(
            new Fault(
                pointer + "/" + index,
                "must name an earlier stage; " + dependency + " would make a cycle"));
      }
    }
  }
}
