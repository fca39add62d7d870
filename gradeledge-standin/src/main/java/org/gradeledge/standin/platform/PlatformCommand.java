package org.gradeledge.standin.platform;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import reactor.core.publisher.Mono;

/** Runs the platform stand-in until the process is terminated. */
@Command(
    name = "platform",
    mixinStandardHelpOptions = true,
    description = "Runs the platform stand-in.")
public final class PlatformCommand implements Callable<Integer> {

  @Spec private CommandSpec spec;

  @Option(names = "--port", description = "Port of the services; any free port by default.")
  private int port;

  @Option(names = "--admin-port", description = "Port of the fault injection API.")
  private int adminPort;

  @Override
  public Integer call() {
    PlatformStandIn platform = new PlatformStandIn(port, adminPort);
    spec.commandLine()
        .getOut()
        .printf(
            "{\"platform\":\"127.0.0.1:%d\",\"admin\":\"127.0.0.1:%d\"}%n",
            platform.port(), platform.adminPort());
    spec.commandLine().getOut().flush();
    Mono.never().block();
    return 0;
  }
}
