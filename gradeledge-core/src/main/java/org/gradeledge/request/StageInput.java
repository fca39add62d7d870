package org.gradeledge.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.gradeledge.configuration.PipelineFile;
import org.gradeledge.configuration.StageDefinition;

/** Builds the input of a stage from the caller's input and the outputs of earlier stages. */
abstract class StageInput {

  private StageInput() {}

  /**
   * Returns the input of a stage: the caller's input merged with the outputs of the stages in
   * {@code after}, or of all earlier stages if it is not set. Later outputs override earlier ones,
   * so that reranked documents replace retrieved ones.
   */
  static ObjectNode of(
      PipelineFile file, int stageIndex, ObjectNode callerInput, Map<String, JsonNode> outputs) {
    StageDefinition stage = file.stages().get(stageIndex);
    List<String> sources =
        stage
            .after()
            .orElseGet(
                () ->
                    file.stages().subList(0, stageIndex).stream()
                        .map(StageDefinition::name)
                        .toList());
    ObjectNode input = callerInput.deepCopy();
    sources.stream()
        .map(outputs::get)
        .filter(ObjectNode.class::isInstance)
        .forEach(output -> input.setAll((ObjectNode) output.deepCopy()));
    return input;
  }
}
