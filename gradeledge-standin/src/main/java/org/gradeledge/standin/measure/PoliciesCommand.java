package org.gradeledge.standin.measure;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.Callable;
import org.gradeledge.standin.engine.EngineFault;
import org.gradeledge.standin.load.LoadReport;
import org.gradeledge.standin.load.LoadRun;
import org.gradeledge.standin.load.Outcome;
import org.gradeledge.standin.load.PipelineFileLoader;
import org.gradeledge.standin.load.Target;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Compares policies over the same engines, one after another within each seed. */
@Command(
    name = "policies",
    mixinStandardHelpOptions = true,
    description = "Attainment of each policy under load and faults; interleaved by seed.")
public final class PoliciesCommand implements Callable<Integer> {

  private static final Duration PAUSE_AFTER_RUN = Duration.ofMillis(500);

  /** Shorter than the accounts', so that a run of a few seconds shows what queues do. */
  private static final Duration DEADLINE = Duration.ofMillis(800);

  @Spec private CommandSpec spec;

  @Option(names = "--set", required = true, description = "name=host:port+host:port.")
  private List<String> policySetTexts;

  @Option(names = "--pipelines", required = true, description = "Pipeline files in force.")
  private List<Path> pipelines;

  @Option(names = "--capacity", required = true, description = "Requests/s at capacity.")
  private double capacity;

  @Option(names = "--seconds", defaultValue = "4", description = "Time of one run.")
  private double seconds;

  @Option(names = "--seeds", defaultValue = "5", description = "Runs of each policy.")
  private int seeds;

  @Option(names = "--faulty", required = true, description = "admin/engine that has faults.")
  private String faultyEngine;

  @Option(names = "--scenarios", split = ",", description = "All where not given.")
  private List<Scenario> scenarios = List.of(Scenario.values());

  @Option(names = "--plot", description = "PNG file to write.")
  private Path plotFile;

  @Override
  public Integer call() throws IOException {
    List<PolicySet> policySets = policySetTexts.stream().map(PolicySet::parse).toList();
    List<Target> targets = Target.of(PipelineFileLoader.load(pipelines));
    PrintWriter out = spec.commandLine().getOut();
    Map<String, List<Double>> medians = new HashMap<>();
    for (PolicySet warmed : policySets) {
      run(Scenario.STEADY, warmed, targets, -1);
      run(Scenario.OVER, warmed, targets, 0);
    }
    for (Scenario scenario : scenarios) {
      Map<String, List<LoadReport>> reports = runAll(scenario, policySets, targets);
      for (PolicySet set : policySets) {
        PolicyStatistics figures =
            new PolicyStatistics(reports.get(set.name()), scenario.floodingAccount(targets));
        out.println(figures.toJsonLine(scenario.label(), set.name()));
        out.flush();
        medians
            .computeIfAbsent(set.name(), name -> new ArrayList<>())
            .add(figures.medianAttainment());
      }
    }
    if (plotFile != null) {
      PolicyPlot.write(plotFile, scenarios.stream().map(Scenario::label).toList(), medians);
    }
    return 0;
  }

  private Map<String, List<LoadReport>> runAll(
      Scenario scenario, List<PolicySet> policySets, List<Target> targets) {
    Map<String, List<LoadReport>> reports = new HashMap<>();
    setFault(scenario.fault());
    for (int seed = 1; seed <= seeds; seed++) {
      for (PolicySet set : policySets) {
        reports
            .computeIfAbsent(set.name(), name -> new ArrayList<>())
            .add(run(scenario, set, targets, seed));
      }
    }
    setFault(EngineFault.NONE);
    return reports;
  }

  private LoadReport run(Scenario scenario, PolicySet set, List<Target> targets, long seed) {
    var plan = scenario.plan(targets, capacity, seconds, seed);
    List<Outcome> outcomes =
        Objects.requireNonNull(new LoadRun(set.boxes(), plan, DEADLINE).run().block());
    Mono.delay(PAUSE_AFTER_RUN).block();
    return new LoadReport(outcomes);
  }

  private void setFault(EngineFault fault) {
    String[] parts = faultyEngine.split("/");
    HttpClient.newConnection()
        .post()
        .uri("http://" + parts[0] + "/faults/" + parts[1] + "/" + fault.name())
        .response()
        .block();
  }
}
