package org.gradeledge.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.gradeledge.configuration.TextDigest;
import org.gradeledge.standin.engine.EngineStandIn;

/** Builds pipeline files for tests. */
final class PipelineFiles {

  static final String NAME = "seat-matching";
  private static final long DEADLINE_MS = 8_000;

  private final ObjectNode file = JsonNodeFactory.instance.objectNode();
  private final ArrayNode stages;
  private final ArrayNode upstreams;

  private PipelineFiles(String name) {
    file.put("pipeline", name);
    this.stages = file.putArray("stages");
    ArrayNode accounts = file.putArray("accounts");
    for (String account : List.of("riders", "dispatchers")) {
      accounts
          .addObject()
          .put("name", account)
          .put("tokenSha256", TextDigest.sha256(token(account)))
          .put("priority", 5)
          .put("weight", 1)
          .put("deadlineMs", DEADLINE_MS)
          .put("requestsPerSecond", 10_000);
    }
    this.upstreams = file.putArray("upstreams");
    file.put("retryBudget", 1.0);
  }

  static PipelineFiles named(String name) {
    return new PipelineFiles(name);
  }

  static String token(String account) {
    return "token of " + account;
  }

  PipelineFiles stage(String name, String kind, boolean repeatable, EngineStandIn... engines) {
    ObjectNode stage = stages.addObject().put("name", name).put("kind", kind);
    boolean model = !kind.equals("service") && !kind.equals("retrieve");
    if (model) {
      stage.put("model", "model-" + kind);
    }
    if (kind.equals("service")) {
      stage.put("path", "/bookings");
    }
    ArrayNode ids = stage.putArray("upstreams");
    stage.put("repeatable", repeatable).put("deadlineShare", 0.2).put("concurrencyLimit", 64);
    for (int i = 0; i < engines.length; i++) {
      String id = name + "-" + i;
      ids.add(id);
      ObjectNode upstream =
          upstreams
              .addObject()
              .put("id", id)
              .put("host", "127.0.0.1")
              .put("port", engines[i].port())
              .put("availabilityZone", "sofia-1");
      upstream.putArray("roles").add(kind);
      ArrayNode models = upstream.putArray("models");
      if (model) {
        models.add("model-" + kind);
      }
      upstream.put("slots", 16).put("checksOrders", true).put("tellsWhetherItRan", true);
    }
    return this;
  }

  PipelineFiles maxTokens(int tokens) {
    ((ObjectNode) stages.get(stages.size() - 1)).put("maxTokens", tokens);
    return this;
  }

  byte[] text() {
    return StandInHttp.toJson(file);
  }
}
