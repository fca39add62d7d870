package org.gradeledge.standin.demo;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import org.gradeledge.configuration.TextDigest;
import org.gradeledge.standin.StandInHttp;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Prints a pipeline of one stage over any number of upstreams, for measuring what each costs. */
@Command(
    name = "plain-pipeline",
    mixinStandardHelpOptions = true,
    description = "Prints a pipeline of one encode stage over some upstreams.")
public final class PlainPipelineCommand implements Callable<Integer> {

  private static final int SLOTS = 64;

  @Spec private CommandSpec spec;

  @Option(names = "--upstreams", required = true, description = "How many upstreams.")
  private int upstreamCount;

  @Override
  public Integer call() {
    ObjectNode file = JsonNodeFactory.instance.objectNode().put("pipeline", "plain-encode");
    ObjectNode stage =
        file.putArray("stages")
            .addObject()
            .put("name", "encode")
            .put("kind", "encode")
            .put("model", "e5-bg")
            .put("repeatable", true)
            .put("deadlineShare", 1)
            .put("concurrencyLimit", 256);
    file.putArray("accounts")
        .addObject()
        .put("name", "riders")
        .put("tokenSha256", TextDigest.sha256("demo-riders"))
        .put("priority", 5)
        .put("weight", 1)
        .put("deadlineMs", 2_000)
        .put("requestsPerSecond", 100_000);
    ArrayNode names = stage.putArray("upstreams");
    ArrayNode upstreams = file.putArray("upstreams");
    for (int i = 1; i <= upstreamCount; i++) {
      names.add("plain-" + i);
      addUpstream(upstreams.addObject().put("id", "plain-" + i));
    }
    spec.commandLine()
        .getOut()
        .println(new String(StandInHttp.toJson(file), StandardCharsets.UTF_8));
    return 0;
  }

  private static void addUpstream(ObjectNode upstream) {
    upstream.put("host", "127.0.0.1").put("port", 1).put("availabilityZone", "sofia-1");
    upstream.putArray("roles").add("encode");
    upstream.putArray("models").add("e5-bg");
    upstream.put("slots", SLOTS).put("checksOrders", true).put("tellsWhetherItRan", true);
  }
}
