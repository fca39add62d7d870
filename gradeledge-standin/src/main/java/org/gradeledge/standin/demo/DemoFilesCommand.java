package org.gradeledge.standin.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.Callable;
import org.gradeledge.configuration.TextDigest;
import org.gradeledge.standin.StandInHttp;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Writes the settings of boxes and puts the ports of running engines into pipeline files. */
@Command(
    name = "demo-files",
    mixinStandardHelpOptions = true,
    description = "Writes settings and pipeline files for stand-ins that are running.")
public final class DemoFilesCommand implements Callable<Integer> {

  private static final String LOOPBACK = "127.0.0.1";

  @Option(names = "--directory", required = true, description = "Where to write.")
  private Path directory;

  @Option(names = "--platform", required = true, description = "First line of the platform.")
  private Path platformFile;

  @Option(names = "--engines", required = true, description = "First lines of engine processes.")
  private List<Path> engineFiles;

  @Option(names = "--pipelines", required = true, description = "Pipeline files.")
  private List<Path> pipelineFiles;

  @Option(names = "--boxes", required = true, description = "How many boxes.")
  private int boxCount;

  @Option(names = "--zones", split = ",", required = true, description = "Their zones in turn.")
  private List<String> zones;

  @Option(names = "--operator-token", required = true, description = "Token of the operator.")
  private String operatorToken;

  @Option(names = "--peer-secret", required = true, description = "Secret of the boxes.")
  private String peerSecret;

  @Option(
      names = "--policies",
      split = ",",
      description = "routing:admission of the boxes in turn; the defaults where not given.")
  private List<String> policies = List.of();

  @Override
  public Integer call() throws IOException {
    Files.createDirectories(directory);
    ObjectNode ports = JsonNodeFactory.instance.objectNode();
    for (Path file : engineFiles) {
      ports.setAll((ObjectNode) readFirstLine(file).path("engines"));
    }
    for (Path file : pipelineFiles) {
      writePipeline(file, ports);
    }
    Path secret = directory.resolve("peer-secret");
    Files.writeString(secret, peerSecret);
    for (int box = 1; box <= boxCount; box++) {
      writeSettings(box, readFirstLine(platformFile).path("platform").asText(), secret);
    }
    return 0;
  }

  private void writePipeline(Path file, ObjectNode ports) throws IOException {
    JsonNode pipeline = StandInHttp.parseJson(Files.readAllBytes(file));
    for (JsonNode upstream : pipeline.path("upstreams")) {
      String id = upstream.path("id").asText();
      ((ObjectNode) upstream).set("port", ports.required(id));
    }
    Path name = Objects.requireNonNull(file.getFileName());
    Files.write(directory.resolve(name), StandInHttp.toJson(pipeline));
  }

  private void writeSettings(int box, String platformAddress, Path secret) throws IOException {
    ObjectNode settings = JsonNodeFactory.instance.objectNode();
    settings.put("boxId", "box-" + box);
    settings.put("availabilityZone", zones.get((box - 1) % zones.size()));
    settings.set("caller", listenOnAnyPort());
    settings.set("operator", listenOnAnyPort());
    settings
        .putObject("peer")
        .put("secretFile", secret.toString())
        .set("listen", listenOnAnyPort());
    String address = "http://" + platformAddress;
    settings
        .putObject("platform")
        .put("table", address)
        .put("objects", address)
        .put("boxes", address);
    ArrayNode operators = settings.putArray("operators");
    operators.addObject().put("name", "demo").put("tokenSha256", TextDigest.sha256(operatorToken));
    if (!policies.isEmpty()) {
      String[] policy = policies.get((box - 1) % policies.size()).split(":");
      settings.put("routing", policy[0]).put("admission", policy[1]);
    }
    Files.write(directory.resolve("box-" + box + ".json"), StandInHttp.toJson(settings));
  }

  private static ObjectNode listenOnAnyPort() {
    return JsonNodeFactory.instance.objectNode().put("host", LOOPBACK).put("port", 0);
  }

  private static JsonNode readFirstLine(Path file) throws IOException {
    List<String> lines = Files.readAllLines(file);
    return StandInHttp.parseJson(lines.get(0).getBytes(StandardCharsets.UTF_8));
  }
}
