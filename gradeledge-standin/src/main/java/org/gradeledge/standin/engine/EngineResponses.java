package org.gradeledge.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/** Made-up answers that depend on nothing but the call, so that a wrong one shows. */
abstract class EngineResponses {

  private static final int DIMENSIONS = 8;

  private static final List<String> DOCUMENTS =
      List.of(
          "Автогара Юг, сектор 4, тръгване в 17:30 за Пловдив",
          "Място до прозореца, багаж до 10 кг",
          "Chữ tiếng Việt có dấu: ắ ằ ẳ ẵ ặ ế ề ể ễ ệ",
          "Giấy phép phông chữ cho báo điện tử");

  private EngineResponses() {}

  static ObjectNode embeddings(JsonNode body) {
    String text = body.path("input").path(0).asText();
    ObjectNode answer = newObject();
    ArrayNode vector = answer.putArray("data").addObject().putArray("embedding");
    for (int i = 0; i < DIMENSIONS; i++) {
      vector.add(Math.floorMod(text.hashCode() * 31 + i * 17, 1_000) / 1_000.0);
    }
    answer.putObject("usage").put("prompt_tokens", words(text).size());
    return answer;
  }

  static ObjectNode retrieve(JsonNode body) {
    ObjectNode answer = newObject();
    ArrayNode documents = answer.putArray("documents");
    documents.addObject().put("id", "query").put("text", body.path("query").asText());
    for (int i = 0; i < DOCUMENTS.size(); i++) {
      documents.addObject().put("id", "document-" + i).put("text", DOCUMENTS.get(i));
    }
    return answer;
  }

  static ObjectNode rerank(JsonNode body) {
    List<String> query = words(body.path("query").asText());
    List<ObjectNode> documents = new ArrayList<>();
    body.path("documents")
        .forEach(
            document -> {
              ObjectNode scored = ((ObjectNode) document).deepCopy();
              long shared =
                  words(document.path("text").asText()).stream().filter(query::contains).count();
              documents.add(scored.put("relevance_score", shared));
            });
    documents.sort(Comparator.comparingLong((ObjectNode d) -> -d.path("relevance_score").asLong()));
    ObjectNode answer = newObject();
    answer.putArray("results").addAll(documents);
    return answer;
  }

  static ObjectNode service(JsonNode body, String idempotencyKey) {
    ObjectNode answer = newObject();
    answer.put("confirmation", Integer.toHexString(body.hashCode()));
    answer.put("key", idempotencyKey);
    answer.set("for", body.path("text"));
    return answer;
  }

  /** Returns the tokens of a completion: the last words of the prompt, again and again. */
  static List<String> completionTokens(JsonNode body) {
    List<String> words = words(body.path("prompt").asText());
    int limit = body.path("max_tokens").asInt(1);
    List<String> tokens = new ArrayList<>();
    int from = Math.max(0, words.size() - limit);
    for (int i = 0; i < limit && !words.isEmpty(); i++) {
      int index = from + i;
      tokens.add((i == 0 ? "" : " ") + words.get(index % words.size()));
    }
    return tokens;
  }

  static ObjectNode tokenChunk(String text) {
    ObjectNode chunk = newObject();
    chunk.putArray("choices").addObject().put("index", 0).put("text", text);
    return chunk;
  }

  static ObjectNode finishChunk(int tokensIn, int tokensOut) {
    ObjectNode chunk = newObject();
    chunk
        .putArray("choices")
        .addObject()
        .put("index", 0)
        .put("text", "")
        .put("finish_reason", "stop");
    chunk.putObject("usage").put("prompt_tokens", tokensIn).put("completion_tokens", tokensOut);
    return chunk;
  }

  static int countWords(String text) {
    return words(text).size();
  }

  private static List<String> words(String text) {
    return Arrays.stream(text.split("\\s+")).filter(word -> !word.isEmpty()).toList();
  }

  private static ObjectNode newObject() {
    return JsonNodeFactory.instance.objectNode();
  }
}
