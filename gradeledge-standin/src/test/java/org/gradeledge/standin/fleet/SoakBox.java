package org.gradeledge.standin.fleet;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.gradeledge.standin.JavaCommand;

/** A box of the soak: a real process, its link to the store, and where it is reached. */
final class SoakBox implements AutoCloseable {

  private static final int PORT_COUNT = 4;

  private final Path folder;
  private final int number;
  private final List<Integer> ports;
  private final FaultyLink storeLink;
  private final Object processLock = new Object();
  private volatile Process process;
  private volatile int incarnation;

  SoakBox(Path folder, int number, String store) throws IOException {
    this.folder = folder;
    this.number = number;
    // A box that is started again must find its ports free, whatever others dial meanwhile.
    this.ports = FreePorts.findBelowOutgoing(PORT_COUNT);
    this.storeLink = new FaultyLink(store);
  }

  /** Returns what a step holds that stops, kills or freezes the process; callers never do. */
  Object processLock() {
    return processLock;
  }

  FaultyLink storeLink() {
    return storeLink;
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
    File log = folder.resolve("box-" + number + ".log").toFile();
    ProcessBuilder builder =
        new ProcessBuilder(JavaCommand.of("-Xss256k", "org.gradeledge.adapter.PlatformMain"));
    builder.environment().put("GRADELEDGE_SETTINGS", settings.toString());
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    process = builder.start();
  }

  void kill() {
    process.destroyForcibly().onExit().join();
  }

  /** Asks the box to stop as planned and waits until it has. */
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
  }
}
