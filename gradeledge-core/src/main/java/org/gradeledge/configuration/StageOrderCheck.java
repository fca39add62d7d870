package org.gradeledge.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.gradeledge.document.Fault;

/** A stage takes output only of stages before it, so that there is no cycle and none is missing. */
final class StageOrderCheck implements PipelineCheck {

  @Override
  public Stream<Fault> findFaults(PipelineFile file) {
    List<Fault> faults = new ArrayList<>();
    Set<String> all = new HashSet<>();
    file.stages().forEach(stage -> all.add(stage.name()));
    Set<String> earlier = new HashSet<>();
    for (int index = 0; index < file.stages().size(); index++) {
      StageDefinition stage = file.stages().get(index);
      checkStage(stage, "/stages/" + index + "/after", all, earlier, faults);
      earlier.add(stage.name());
    }
    return faults.stream();
  }

  private static void checkStage(
      StageDefinition stage,
      String pointer,
      Set<String> all,
      Set<String> earlier,
      List<Fault> out) {
    List<String> after = stage.after().orElse(List.of());
    for (int index = 0; index < after.size(); index++) {
      String needed = after.get(index);
      if (!all.contains(needed)) {
        out.add(new Fault(pointer + "/" + index, "must name a stage; there is no " + needed));
      } else if (!earlier.contains(needed)) {
        out.add(
            new Fault(
                pointer + "/" + index,
                "must name an earlier stage; " + needed + " would make a cycle"));
      }
    }
  }
}
