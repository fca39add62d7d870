package org.gradeledge.standin.fleet;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.gradeledge.standin.JavaCommand;

/** A box that runs in a process of its own, with a proxy to the store that can inject faults. */
final class SoakBox implements AutoCloseable {

  private static final int PORT_COUNT = 4;

  private final Path folder;
  private final int number;
  private final List<Integer> ports;
  private final FaultyLink storeLink;
  private final UpstreamLinks upstreamLinks = new UpstreamLinks();
  private final Object processLock = new Object();
  private volatile Process process;
  private volatile int incarnation;

  SoakBox(Path folder, int number, StoreStandIn store) throws IOException {
    this.folder = folder;
    this.number = number;
    // Outgoing connections must not take the ports of a box that is being restarted.
    this.ports = FreePorts.findBelowEphemeralRange(PORT_COUNT);
    this.storeLink = new FaultyLink(store.openView(upstreamLinks::rewriteRow));
  }

  /** Returns the lock that steps hold while they stop, kill or suspend the process. */
  Object processLock() {
    return processLock;
  }

  FaultyLink storeLink() {
    return storeLink;
  }

  UpstreamLinks upstreamLinks() {
    return upstreamLinks;
  }

  int number() {
    return number;
  }

  int incarnation() {
    return incarnation;
  }

  int callerPort() {
    return ports.get(0);
  }

  int readyPort() {
    return ports.get(1);
  }

  String peerAddress() {
    return "127.0.0.1:" + ports.get(2);
  }

  void start(List<String> seeds) throws IOException {
    incarnation++;
    Path settings = folder.resolve("box-" + number + ".json");
    Files.writeString(settings, FleetConfiguration.settings(ports, storeLink.address(), seeds));
    File log = logFile().toFile();
    ProcessBuilder builder =
        new ProcessBuilder(JavaCommand.of("-Xss256k", "org.gradeledge.adapter.PlatformMain"));
    builder.environment().put("GRADELEDGE_SETTINGS", settings.toString());
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    process = builder.start();
  }

  private Path logFile() {
    return folder.resolve("box-" + number + ".log");
  }

  /** Returns what all processes of the box have logged so far. */
  Stream<String> logLines() throws IOException {
    return Files.readAllLines(logFile()).stream();
  }

  void kill() {
    process.destroyForcibly().onExit().join();
  }

  /** Sends SIGTERM, waits until the process has ended and returns its exit code. */
  int stop() {
    process.destroy();
    return process.onExit().join().exitValue();
  }

  void signal(String name) throws IOException {
    new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().onExit().join();
  }

  @Override
  public void close() throws IOException {
    kill();
    storeLink.close();
    upstreamLinks.close();
  }
}
