package org.gradeledge.standin.load;

import java.util.List;
import org.gradeledge.configuration.AccountDefinition;
import org.gradeledge.configuration.PipelineFile;

/** Pipeline and client account that requests are sent to. */
public record Target(PipelineFile file, AccountDefinition account) {

  /** Returns a target for each account of each pipeline. */
  public static List<Target> of(List<PipelineFile> files) {
    return files.stream()
        .flatMap(file -> file.accounts().stream().map(account -> new Target(file, account)))
        .toList();
  }

  /** Returns the bearer token of the account in the demo configuration. */
  public String token() {
    return "demo-" + account.name();
  }
}
