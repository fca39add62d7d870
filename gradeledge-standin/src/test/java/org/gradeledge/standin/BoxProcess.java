package org.gradeledge.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** A box as a process of its own, which can be killed, frozen and woken. */
final class BoxProcess implements AutoCloseable {

  private final Process process;
  private final JsonNode line;

  private BoxProcess(Process process, JsonNode line) {
    this.process = process;
    this.line = line;
  }

  static BoxProcess start(Path settings) {
    try {
      Process process =
          new ProcessBuilder(
                  JavaCommand.of(
                      "org.gradeledge.box.Main", "box", "--settings", settings.toString()))
              .redirectError(ProcessBuilder.Redirect.INHERIT)
              .start();
      BufferedReader out =
          new BufferedReader(
              new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
      String first = out.readLine();
      if (first == null) {
        throw new AssertionError("the box did not start: " + settings);
      }
      return new BoxProcess(process, StandInHttp.parseJson(first.getBytes(StandardCharsets.UTF_8)));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  int callerPort() {
    return port("caller");
  }

  int operatorPort() {
    return port("operator");
  }

  void kill() {
    process.destroyForcibly().onExit().join();
  }

  void terminate() {
    process.destroy();
  }

  int exitCode() {
    try {
      if (!process.waitFor(60, TimeUnit.SECONDS)) {
        throw new AssertionError("the box did not stop");
      }
      return process.exitValue();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  void freeze() {
    signal("STOP");
  }

  void wake() {
    signal("CONT");
  }

  boolean isAlive() {
    return process.isAlive();
  }

  private int port(String name) {
    String address = line.path(name).asText();
    return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
  }

  private void signal(String name) {
    try {
      int exit =
          new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
      if (exit != 0) {
        throw new AssertionError("no signal " + name);
      }
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void close() {
    process.destroyForcibly().onExit().join();
  }
}
