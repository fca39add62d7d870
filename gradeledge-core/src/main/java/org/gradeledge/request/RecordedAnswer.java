package org.gradeledge.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Converts an answer to and from the JSON form in which its claim row stores it. */
abstract class RecordedAnswer {

  private static final String VERSION = "version";
  private static final String RESULTS = "results";

  private RecordedAnswer() {}

  static JsonNode write(AnswerEvent.Result result) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put(VERSION, result.version());
    node.set(RESULTS, result.results());
    return node;
  }

  static AnswerEvent read(JsonNode recorded) {
    return new AnswerEvent.Result(
        recorded.path(VERSION).asLong(), (ObjectNode) recorded.path(RESULTS));
  }
}
